package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/integrii/flaggy"
)

const usageRollout = `Prints how far each rollout is: the share of its version, its deadline, and
whether it is running, braked, done or taken back, and why.`

// rolloutCommand is `railctl rollout --entry HOST:PORT`.
type rolloutCommand struct {
	command *flaggy.Subcommand
	entry   string
}

func newRollout() *rolloutCommand {
	c := &rolloutCommand{command: flaggy.NewSubcommand("rollout")}
	c.command.Description = usageRollout
	entryFlag(c.command, &c.entry)
	return c
}

func (c *rolloutCommand) subcommand() *flaggy.Subcommand { return c.command }

func (c *rolloutCommand) run() int {
	client, err := newClient(c.entry)
	if err != nil {
		return fail(exitBadInput, err)
	}
	rollouts, err := client.Rollouts(context.Background())
	if err != nil {
		return fail(exitFailed, err)
	}
	if len(rollouts) == 0 {
		fmt.Println("no rollouts")
	}
	for _, r := range rollouts {
		deadline := time.UnixMilli(r.GetDeadlineUnixMs()).UTC().Format(time.RFC3339)
		fmt.Printf("%s %s: %s, share %.2f, due %s %s\n", r.GetRoute(), r.GetVersion(), r.GetState(), r.GetShare(), deadline, r.GetReason())
		if len(r.GetCutOff()) > 0 {
			fmt.Println("  cut off:", strings.Join(r.GetCutOff(), ", "))
		}
	}
	return exitOK
}
