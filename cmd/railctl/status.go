package main

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"
)

const usageStatus = `Prints the version in force at each entry of each failure domain, as far as
the asked entry has heard.`

// statusCommand is `railctl status --entry HOST:PORT`.
type statusCommand struct {
	command *flaggy.Subcommand
	entry   string
}

func newStatus() *statusCommand {
	c := &statusCommand{command: flaggy.NewSubcommand("status")}
	c.command.Description = usageStatus
	entryFlag(c.command, &c.entry)
	return c
}

func (c *statusCommand) subcommand() *flaggy.Subcommand { return c.command }

func (c *statusCommand) run() int {
	client, err := newClient(c.entry)
	if err != nil {
		return fail(exitBadInput, err)
	}
	status, err := client.Status(context.Background())
	if err != nil {
		return fail(exitFailed, err)
	}
	fmt.Printf("%s: version %d\n", status.GetEnvironment(), status.GetNumber())
	for _, d := range status.GetDomains() {
		for _, e := range d.GetEntries() {
			fmt.Printf("%-16s %-16s version %-6d %s\n", d.GetDomain(), e.GetId(), e.GetNumber(), lastReportText(e.GetHeardMs()))
		}
	}
	return exitOK
}

// lastReportText describes how long ago the last report of an entry was received; a negative time means never.
func lastReportText(ms int64) string {
	if ms < 0 {
		return "not heard of"
	}
	return fmt.Sprintf("heard of %d ms ago", ms)
}
