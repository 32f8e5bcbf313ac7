package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// exitMissed is the exit code of a run in which an expected outcome was missed or a fault could not be injected.
const exitMissed = 1

// exitFailed is the exit code of a command that failed.
const exitFailed = 2

// command is one subcommand with its flags.
type command interface {
	// flags returns the subcommand with its flags bound.
	flags() *flaggy.Subcommand
	// run executes the subcommand and returns the exit code.
	run(ctx context.Context) (int, error)
}

func main() {
	flaggy.SetName("railreplay")
	flaggy.SetDescription("Replays recorded traces against a running system and compares the outcomes.")
	flaggy.DefaultParser.ShowHelpOnUnexpected = true
	flaggy.DefaultParser.ShowVersionWithVersionFlag = false
	commands := []command{newRunCommand(), newRecordCommand(), newReportCommand(), newOverheadCommand()}
	subcommands := make([]*flaggy.Subcommand, 0, len(commands))
	for _, c := range commands {
		s := c.flags()
		flaggy.AttachSubcommand(s, 1)
		subcommands = append(subcommands, s)
	}
	flaggy.Parse()
	for i, s := range subcommands {
		if s.Used {
			os.Exit(execute(commands[i]))
		}
	}
	flaggy.ShowHelpAndExit("name a subcommand")
}

// execute runs the subcommand and returns the exit code.
func execute(c command) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	code, err := c.run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "railreplay:", err)
		return exitFailed
	}
	return code
}
