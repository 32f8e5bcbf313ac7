package main

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"

	"dandelionrail.org/rail/document"
)

const usageDiff = `Prints what a document would change against the one in force.`

// diffCommand is `railctl diff FILE --entry HOST:PORT`.
type diffCommand struct {
	command *flaggy.Subcommand
	file    string
	entry   string
}

func newDiff() *diffCommand {
	c := &diffCommand{command: flaggy.NewSubcommand("diff")}
	c.command.Description = usageDiff
	c.command.AddPositionalValue(&c.file, "FILE", 1, true, "document to compare")
	entryFlag(c.command, &c.entry)
	return c
}

func (c *diffCommand) subcommand() *flaggy.Subcommand { return c.command }

func (c *diffCommand) run() int {
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
	number, inForce, err := client.Document(context.Background())
	if err != nil {
		return fail(exitFailed, err)
	}
	fmt.Printf("against version %d in force:\n", number)
	printChanges(document.Diff(inForce, source))
	return exitOK
}

// printChanges prints the old and the new value of each changed key, one per line.
func printChanges(changes []document.Change) {
	if len(changes) == 0 {
		fmt.Println("no changes")
	}
	for _, c := range changes {
		if c.Before() != "" {
			fmt.Printf("- [%s] %s = %s\n", c.Section(), c.Key(), c.Before())
		}
		if c.After() != "" {
			fmt.Printf("+ [%s] %s = %s\n", c.Section(), c.Key(), c.After())
		}
	}
}
