package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
)

const (
	exitOK       = 0
	exitFailed   = 1
	exitBadInput = 2
)

// version is set by the build.
var version = "development"

func main() { os.Exit(run()) }

func run() int {
	flaggy.SetName("dandelionrail")
	flaggy.SetDescription("Serves models and order services on instances that may be reclaimed.")
	flaggy.SetVersion(version)
	serve, check, gateway, explain := newServe(), newCheck(), newGateway(), newExplain()
	flaggy.AttachSubcommand(serve.command, 1)
	flaggy.AttachSubcommand(check.command, 1)
	flaggy.AttachSubcommand(gateway.command, 1)
	flaggy.AttachSubcommand(explain.command, 1)
	flaggy.Parse()
	switch {
	case serve.command.Used:
		return serve.run()
	case gateway.command.Used:
		return gateway.run()
	case explain.command.Used:
		return explain.run()
	case check.command.Used:
		return check.run()
	default:
		flaggy.ShowHelp("")
		return exitBadInput
	}
}

// fail prints the error and returns the exit code.
func fail(code int, err error) int {
	fmt.Fprintln(os.Stderr, "dandelionrail:", err)
	return code
}
