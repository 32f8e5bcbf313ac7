package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"dandelionrail.org/rail/platform"
)

const usageGateway = `Runs one gateway on the users' platform. The variable DANDELIONRAIL_CONFIG names
its settings file. SIGTERM starts a graceful shutdown, SIGHUP reads the settings
again. Log lines go to standard output as JSON, one for each decision.`

// gatewayCommand is `dandelionrail gateway`.
type gatewayCommand struct{ command *flaggy.Subcommand }

func newGateway() *gatewayCommand {
	c := &gatewayCommand{command: flaggy.NewSubcommand("gateway")}
	c.command.Description = usageGateway
	return c
}

func (c *gatewayCommand) run() int {
	// A channel for each matter, since a signal that finds its channel full is dropped.
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	s, err := readPlatformSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return fail(exitBadInput, err)
	}
	explain, err := readExplainSettings(os.Getenv)
	if err != nil {
		return fail(exitBadInput, err)
	}
	d, err := newDaemon(s, os.Stdout)
	if err != nil {
		return fail(exitFailed, err)
	}
	d.serveExplanations(explain)
	d.start()
	d.group.Go(func(ctx context.Context) { d.reloadOn(ctx, reload) })
	<-stop
	d.shutdown()
	return exitOK
}

// readPlatformSettings reads the platform's settings file and prints all its faults.
func readPlatformSettings(file string) (platform.Settings, error) {
	source, err := os.ReadFile(file) //nolint:gosec // The operator names the file.
	if err != nil {
		return platform.Settings{}, errors.Wrap(err, "readPlatformSettings")
	}
	s, faults := platform.ReadSettings(string(source))
	for _, f := range faults {
		printFault(file, f.Line(), f.Message())
	}
	if len(faults) > 0 {
		return s, errors.Errorf("%s has %d faults", file, len(faults))
	}
	return s, nil
}
