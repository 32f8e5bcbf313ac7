package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/integrii/flaggy"
)

// command is one subcommand with its flags.
type command interface {
	// flags returns the subcommand with its flags bound.
	flags() *flaggy.Subcommand
	// run serves requests until the context ends.
	run(ctx context.Context) error
}

func main() {
	flaggy.SetName("standin")
	flaggy.SetDescription("Stand-ins of the platform and the upstreams, for tests and the demo.")
	flaggy.DefaultParser.ShowHelpOnUnexpected = true
	// The flag --version is the version that an upstream serves.
	flaggy.DefaultParser.ShowVersionWithVersionFlag = false
	commands := []command{newPlatformCommand(), newEngineCommand(), newServiceCommand()}
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

// execute runs the subcommand until the process gets a signal, and returns the exit code.
func execute(c command) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := c.run(ctx); err != nil {
		log.WithError(err).Error("stand-in ended")
		return 1
	}
	return 0
}
