package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"dandelionrail.org/rail/settings"
)

const usageCheck = `Checks a settings file and prints all its faults as file:line: message.
Exits with 0 if there is none and with 2 otherwise.`

// checkCommand is `dandelionrail check FILE`.
type checkCommand struct {
	command *flaggy.Subcommand
	file    string
	// platform reports whether the file has the format of the users' platform.
	platform bool
}

func newCheck() *checkCommand {
	c := &checkCommand{command: flaggy.NewSubcommand("check")}
	c.command.Description = usageCheck
	c.command.AddPositionalValue(&c.file, "FILE", 1, true, "the settings file")
	c.command.Bool(&c.platform, "p", "platform", "the file has the format of the users' platform")
	return c
}

func (c *checkCommand) run() int {
	check := checkSettings
	if c.platform {
		check = checkPlatformSettings
	}
	if err := check(c.file); err != nil {
		return fail(exitBadInput, err)
	}
	fmt.Println(c.file + ": no faults")
	return exitOK
}

func checkSettings(file string) error {
	_, err := readSettings(file)
	return err
}

// checkPlatformSettings also prints the faults with which a gateway can run, and the addresses for other gateways.
func checkPlatformSettings(file string) error {
	s, err := readPlatformSettings(file)
	if err != nil {
		return err
	}
	for _, f := range s.Warnings() {
		printFault(file, f.Line(), f.Message())
	}
	if n := len(s.Warnings()); n > 0 {
		return errors.Errorf("%s has %d faults", file, n)
	}
	fmt.Printf("%s: gateways exchange digests at %s and forward requests to %s\n", file, s.PeerAddress(), s.ForwardAddress())
	return nil
}

// printFault prints one fault of a file.
func printFault(file string, line int, message string) {
	fmt.Fprintf(os.Stderr, "%s:%d: %s\n", file, line, message)
}

// readSettings reads the file and prints all its faults.
func readSettings(file string) (settings.Settings, error) {
	source, err := os.ReadFile(file) //nolint:gosec // The operator names the file.
	if err != nil {
		return settings.Settings{}, errors.Wrap(err, "readSettings")
	}
	s, faults := settings.Read(string(source))
	for _, f := range faults {
		printFault(file, f.Line(), f.Message())
	}
	if len(faults) > 0 {
		return s, errors.Errorf("%s has %d faults", file, len(faults))
	}
	return s, nil
}
