package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
)

const (
	exitOK       = 0
	exitFailed   = 1
	exitBadInput = 2
)

// version is set by the build.
var version = "development"

// command is one subcommand.
type command interface {
	// subcommand returns the flaggy subcommand with its flags.
	subcommand() *flaggy.Subcommand
	// run executes the subcommand and returns the exit code.
	run() int
}

func main() { os.Exit(run()) }

func run() int {
	flaggy.SetName("railctl")
	flaggy.SetDescription("The operators' command of dandelionrail. Exit codes: 0 done, 1 refused or failed, 2 bad input.")
	flaggy.SetVersion(version)
	tlsFlags.addFlags()
	commands := []command{newCheck(), newDiff(), newPublish(), newPromote(), newStatus(), newRollout(), newTimeline()}
	for _, c := range commands {
		flaggy.AttachSubcommand(c.subcommand(), 1)
	}
	flaggy.Parse()
	for _, c := range commands {
		if c.subcommand().Used {
			return c.run()
		}
	}
	flaggy.ShowHelp("")
	return exitBadInput
}

// fail prints the error and returns the exit code.
func fail(code int, err error) int {
	fmt.Fprintln(os.Stderr, "railctl:", err)
	return code
}

// readFile returns the text of a file given on the command line.
func readFile(name string) (string, error) {
	if name == "" {
		return "", errors.New("state the document's file")
	}
	text, err := os.ReadFile(name)
	return string(text), errors.Wrap(err, "read document")
}
