package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/integrii/flaggy"

	"dandelionrail.org/rail/entry"
)

const usageServe = `Runs one entry daemon with the settings of an INI file.
Prints the addresses of its two listeners on standard output and logs to
standard error. SIGTERM and SIGINT start a graceful shutdown, which cuts off no
request in progress; a second signal ends the process at once.`

// gcPercent is the GC target: garbage that may accumulate before a collection, in
// percent of the live heap. It is below Go's default of 100, because the control
// plane needs little CPU time and saving memory matters more.
const gcPercent = 40

// serveCommand is `dandelionrail serve --config FILE`.
type serveCommand struct {
	command *flaggy.Subcommand
	file    string
}

func newServe() *serveCommand {
	c := &serveCommand{command: flaggy.NewSubcommand("serve")}
	c.command.Description = usageServe
	c.command.String(&c.file, "c", "config", "the settings file")
	return c
}

func (c *serveCommand) run() int {
	s, err := readSettings(c.file)
	if err != nil {
		return fail(exitBadInput, err)
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	d, err := entry.New(context.Background(), s, os.Stderr)
	if err != nil {
		return fail(exitFailed, err)
	}
	fmt.Println("listening", d.Address())
	fmt.Println("control", d.ControlAddress())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d.Start()
	select {
	case <-signals:
		d.Leave()
	case <-d.Done():
	}
	select {
	case <-signals:
		return exitFailed
	case <-d.Done():
	}
	d.Stop()
	return exitOK
}
