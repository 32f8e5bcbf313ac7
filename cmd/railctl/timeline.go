package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"dandelionrail.org/rail/journal"
	"dandelionrail.org/rail/timeline"
)

const usageTimeline = `Prints the events of all processes in causal order: the recent ones that
entries still keep, and those in the log files of processes that are gone.
A process that cannot be reached is named, and the others are printed.`

// fetchTimeout bounds the call to one process.
const fetchTimeout = 5 * time.Second

// timelineCommand is `railctl timeline [--entry HOST:PORT[,HOST:PORT…]] [--log FILE[,FILE…]]`.
type timelineCommand struct {
	command *flaggy.Subcommand
	entries string
	logs    string
	subject string
}

func newTimeline() *timelineCommand {
	c := &timelineCommand{command: flaggy.NewSubcommand("timeline")}
	c.command.Description = usageTimeline
	c.command.String(&c.entries, "e", "entry", "control addresses of the entries, parted by commas")
	c.command.String(&c.logs, "l", "log", "log files of entries, parted by commas")
	c.command.String(&c.subject, "s", "subject", "print only the events about this request, instance or version")
	return c
}

func (c *timelineCommand) subcommand() *flaggy.Subcommand { return c.command }

func (c *timelineCommand) run() int {
	if c.entries == "" && c.logs == "" {
		return fail(exitBadInput, errors.New("timeline: state --entry or --log"))
	}
	fetched, unreachable := readAll(c.entries, fetchTimeline)
	logged, unreadable := readAll(c.logs, readLog)
	for _, e := range distinct(timeline.Merge(append(fetched, logged...)...)) {
		if c.subject == "" || e.Subject() == c.subject {
			fmt.Println(formatEntry(e))
		}
	}
	if unreachable+unreadable > 0 {
		return exitFailed
	}
	return exitOK
}

// readAll reads all sources, and prints and counts those that cannot be read.
func readAll(sources string, read func(string) ([]timeline.Entry, error)) (lists [][]timeline.Entry, failed int) {
	for _, source := range strings.FieldsFunc(sources, func(r rune) bool { return r == ',' }) {
		list, err := read(source)
		if err != nil {
			fmt.Fprintf(os.Stderr, "railctl: %s: %v\n", source, err)
			failed++
			continue
		}
		lists = append(lists, list)
	}
	return lists, failed
}

// distinct removes duplicate events, as a process and its log file return the same ones.
func distinct(es []timeline.Entry) []timeline.Entry {
	type eventKey struct {
		process         string
		sequence, clock uint64
	}
	seen := map[eventKey]bool{}
	return slices.DeleteFunc(es, func(e timeline.Entry) bool {
		key := eventKey{e.Process(), e.Sequence(), e.Clock()}
		duplicate := seen[key]
		seen[key] = true
		return duplicate
	})
}

func readLog(file string) ([]timeline.Entry, error) {
	f, err := os.Open(file) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, errors.Wrap(err, "readLog")
	}
	defer func() { _ = f.Close() }()
	return journal.Read(f)
}

func fetchTimeline(address string) ([]timeline.Entry, error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	client, scheme, err := tlsFlags.client()
	if err != nil {
		return nil, err
	}
	return timeline.Fetch(ctx, client, scheme+address, 0)
}

// formatEntry formats an event as one line: time, clock, process, number, title, subject and detail.
func formatEntry(e timeline.Entry) string {
	return fmt.Sprintf("%s %6d %-14s %4d %s: %s %s",
		e.At().UTC().Format("15:04:05.000"), e.Clock(), e.Process(), e.Number(), e.Number().Title(), e.Subject(), e.Detail())
}
