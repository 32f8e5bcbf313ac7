package main

import (
	"fmt"

	"github.com/integrii/flaggy"

	"dandelionrail.org/rail/document"
)

const usageCheck = `Checks a document and prints all its faults as FILE:LINE: MESSAGE.
Asks no entry.`

// checkCommand is `railctl check FILE`.
type checkCommand struct {
	command *flaggy.Subcommand
	file    string
}

func newCheck() *checkCommand {
	c := &checkCommand{command: flaggy.NewSubcommand("check")}
	c.command.Description = usageCheck
	c.command.AddPositionalValue(&c.file, "FILE", 1, true, "document to check")
	return c
}

func (c *checkCommand) subcommand() *flaggy.Subcommand { return c.command }

func (c *checkCommand) run() int {
	source, err := readFile(c.file)
	if err != nil {
		return fail(exitBadInput, err)
	}
	if _, faults := document.Parse(source); len(faults) > 0 {
		return failFaults(c.file, faults)
	}
	fmt.Println(c.file + ": no faults")
	return exitOK
}

// failFaults prints the faults of a file and returns the exit code.
func failFaults(file string, faults []document.Fault) int {
	for _, f := range faults {
		fmt.Printf("%s:%d: %s\n", file, f.Line(), f.Message())
	}
	return exitBadInput
}
