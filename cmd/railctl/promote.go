package main

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"dandelionrail.org/rail/document"
	"dandelionrail.org/rail/operator"
)

const usagePromote = `Publishes the document in force at one environment in another one.
The text stays as it is but for what each environment states for itself: its
name, and the token hashes and limits of its teams, taken from the target's
document in force; and all that the file of --values states, an INI text of the
same sections and keys (needed for the first promotion and for new teams).`

// promoteCommand is `railctl promote --from HOST:PORT --to HOST:PORT`.
type promoteCommand struct {
	command *flaggy.Subcommand
	from    string
	to      string
	values  string
	dryRun  bool
}

func newPromote() *promoteCommand {
	c := &promoteCommand{command: flaggy.NewSubcommand("promote")}
	c.command.Description = usagePromote
	c.command.String(&c.from, "f", "from", "control address of an entry of the source, HOST:PORT")
	c.command.String(&c.to, "t", "to", "control address of an entry of the target, HOST:PORT")
	c.command.String(&c.values, "", "values", "file with values of the target environment")
	c.command.Bool(&c.dryRun, "n", "dry-run", "print what would change and publish nothing")
	return c
}

func (c *promoteCommand) subcommand() *flaggy.Subcommand { return c.command }

func (c *promoteCommand) run() int {
	values, err := c.readValues()
	if err != nil {
		return fail(exitBadInput, err)
	}
	from, err := newClient(c.from)
	if err != nil {
		return fail(exitBadInput, errors.Wrap(err, "--from"))
	}
	to, err := newClient(c.to)
	if err != nil {
		return fail(exitBadInput, errors.Wrap(err, "--to"))
	}
	return c.promote(from, to, values)
}

func (c *promoteCommand) promote(from, to *operator.Client, values string) int {
	number, source, err := from.Document(context.Background())
	if err != nil {
		return fail(exitFailed, err)
	}
	if number == 0 {
		return fail(exitFailed, errors.Errorf("no document is in force at %s", c.from))
	}
	base, inForce, err := to.Document(context.Background())
	if err != nil {
		return fail(exitFailed, err)
	}
	promoted, faults := document.Promote(source, inForce, values)
	if len(faults) > 0 {
		return failFaults(c.from, faults)
	}
	fmt.Printf("version %d of %s against version %d of %s:\n", number, c.from, base, c.to)
	printChanges(document.Diff(inForce, promoted))
	if c.dryRun {
		return exitOK
	}
	return publish(to, c.from, promoted, base)
}

// readValues returns the text of the file of --values, empty if none is given.
func (c *promoteCommand) readValues() (string, error) {
	if c.values == "" {
		return "", nil
	}
	return readFile(c.values)
}
