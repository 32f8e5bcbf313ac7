package main

import (
	"context"
	"fmt"
	"time"

	"github.com/integrii/flaggy"

	"dandelionrail.org/rail/document"
	"dandelionrail.org/rail/gen/railv1"
	"dandelionrail.org/rail/operator"
)

const usagePublish = `Publishes a document on top of the version in force, or of --base,
and tells of each failure domain as it comes into force there.
Fails if another document was accepted on top of the same version.`

const (
	// reportTimeout is how long the status of the domains is polled after a publication.
	reportTimeout = 10 * time.Second
	// reportInterval is the time between two polls of the status.
	reportInterval = 200 * time.Millisecond
)

// publishCommand is `railctl publish FILE --entry HOST:PORT`.
type publishCommand struct {
	command *flaggy.Subcommand
	file    string
	entry   string
	base    int
}

func newPublish() *publishCommand {
	c := &publishCommand{command: flaggy.NewSubcommand("publish"), base: -1}
	c.command.Description = usagePublish
	c.command.AddPositionalValue(&c.file, "FILE", 1, true, "document to publish")
	entryFlag(c.command, &c.entry)
	c.command.Int(&c.base, "b", "base", "version that the document was made from; the one in force if not stated")
	return c
}

// entryFlag adds the flag for the control address of an entry.
func entryFlag(c *flaggy.Subcommand, value *string) {
	c.String(value, "e", "entry", "control address of an entry, HOST:PORT")
}

func (c *publishCommand) subcommand() *flaggy.Subcommand { return c.command }

func (c *publishCommand) run() int {
	source, err := readFile(c.file)
	if err != nil {
		return fail(exitBadInput, err)
	}
	if _, faults := document.Parse(source); len(faults) > 0 {
		return failFaults(c.file, faults)
	}
	client, err := newClient(c.entry)
	if err != nil {
		return fail(exitBadInput, err)
	}
	base, err := c.baseNumber(client)
	if err != nil {
		return fail(exitFailed, err)
	}
	return publish(client, c.file, source, base)
}

// baseNumber returns the value of --base or, without it, the version in force.
func (c *publishCommand) baseNumber(client *operator.Client) (uint64, error) {
	if c.base >= 0 {
		return uint64(c.base), nil
	}
	number, _, err := client.Document(context.Background())
	return number, err
}

// publish publishes a document, prints its faults or the domains where it comes into force, and returns the exit code.
func publish(client *operator.Client, file, source string, base uint64) int {
	number, faults, err := client.Publish(context.Background(), source, base)
	if err != nil {
		return fail(exitFailed, err)
	}
	if len(faults) > 0 {
		return failFaults(file, faults)
	}
	fmt.Printf("accepted as version %d\n", number)
	reportDomains(client, number)
	return exitOK
}

// reportDomains prints each domain once all its entries have reported the version, and after the timeout the domains with
// entries that have not.
func reportDomains(client *operator.Client, number uint64) {
	done := map[string]bool{}
	var pending []string
	for deadline := time.Now().Add(reportTimeout); time.Now().Before(deadline); time.Sleep(reportInterval) {
		status, err := client.Status(context.Background())
		if err != nil {
			continue
		}
		pending = nil
		for _, d := range status.GetDomains() {
			if outdated := outdatedEntries(d, number); len(outdated) > 0 {
				pending = append(pending, fmt.Sprintf("%s: version %d not reported by %v; cut off, or late", d.GetDomain(), number, outdated))
			} else if !done[d.GetDomain()] {
				done[d.GetDomain()] = true
				fmt.Printf("%s: version %d in force\n", d.GetDomain(), number)
			}
		}
		if len(pending) == 0 {
			return
		}
	}
	for _, line := range pending {
		fmt.Println(line)
	}
}

// outdatedEntries returns the entries of a domain that have not reported the version.
func outdatedEntries(d *railv1.DomainStatus, number uint64) []string {
	var ids []string
	for _, e := range d.GetEntries() {
		if e.GetNumber() < number {
			ids = append(ids, e.GetId())
		}
	}
	return ids
}
