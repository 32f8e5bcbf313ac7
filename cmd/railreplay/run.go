package main

import (
	"context"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"dandelionrail.org/rail/cmd/railreplay/caller"
	"dandelionrail.org/rail/cmd/railreplay/replay"
	"dandelionrail.org/rail/cmd/railreplay/trace"
)

const runUsage = `Replays a trace: sends each request at its recorded offset, brings the faults
about, and prints the outcomes. Exit code 1 if a stated outcome was missed.`

type runCommand struct {
	traceFile         string
	entries           string
	platform          string
	processes         string
	deadline          time.Duration
	idleTimeout       time.Duration
	searchTimeout     time.Duration
	maxUnknownRetries int
	maxInFlight       int
	speed             float64
	readyTimeout      time.Duration
	firstTokenTarget  time.Duration
	saveFile          string
}

func newRunCommand() *runCommand {
	return &runCommand{deadline: time.Minute, idleTimeout: 10 * time.Second, searchTimeout: 20 * time.Second, maxUnknownRetries: 5, maxInFlight: 2000, speed: 1, firstTokenTarget: 800 * time.Millisecond}
}

func (r *runCommand) flags() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("run")
	s.Description = runUsage
	s.AddPositionalValue(&r.traceFile, "TRACE", 1, true, "Trace to replay, a file of JSON lines.")
	s.String(&r.entries, "e", "entry", "URLs of the entries, separated by commas.")
	s.String(&r.platform, "p", "platform", "URL of the platform stand-in.")
	s.String(&r.processes, "", "process", "Process ids for faults, as instance=id, separated by commas.")
	s.Duration(&r.deadline, "", "deadline", "How long a request may take with all its retries.")
	s.Duration(&r.idleTimeout, "", "silence", "How long a connection may be silent.")
	s.Duration(&r.searchTimeout, "", "search", "How long an entry may look for an answer.")
	s.Int(&r.maxUnknownRetries, "", "unknowns", "How often to ask again for an order whose outcome is unknown.")
	s.Int(&r.maxInFlight, "", "most", "Requests that may be on their way at once.")
	s.Float64(&r.speed, "", "speed", "Divides the recorded offsets.")
	s.Duration(&r.readyTimeout, "", "wait", "How long to wait first until every entry serves (default: not at all).")
	s.Duration(&r.firstTokenTarget, "", "target", "Latency target of the first token.")
	s.String(&r.saveFile, "", "save", "File to save the run's figures in, for report.")
	return s
}

func (r *runCommand) run(ctx context.Context) (int, error) {
	t, err := readTrace(r.traceFile)
	if err != nil {
		return 0, err
	}
	processes, err := parseProcesses(r.processes)
	if err != nil {
		return 0, err
	}
	if r.entries == "" || r.platform == "" || r.maxInFlight <= 0 || r.speed <= 0 {
		return 0, errors.New("--entry and --platform are required, --most and --speed must be above zero")
	}
	entries := strings.Split(r.entries, ",")
	if r.readyTimeout > 0 {
		if err := replay.WaitReady(ctx, t, entries, r.readyTimeout); err != nil {
			return 0, err
		}
	}
	report := replay.Run(ctx, t, replay.Settings{
		Entries:          entries,
		Platform:         r.platform,
		Processes:        processes,
		Limits:           caller.Limits{Deadline: r.deadline, IdleTimeout: r.idleTimeout, SearchTimeout: r.searchTimeout, MaxUnknownRetries: r.maxUnknownRetries},
		MaxInFlight:      r.maxInFlight,
		Speed:            r.speed,
		FirstTokenTarget: r.firstTokenTarget,
	})
	if err := report.Print(os.Stdout); err != nil {
		return 0, errors.Wrap(err, "print the report")
	}
	if err := r.saveRun(report); err != nil {
		return 0, err
	}
	if !report.Passed() {
		return exitMissed, nil
	}
	return 0, nil
}

// saveRun saves the summary of the report, if a file is given.
func (r *runCommand) saveRun(report replay.Report) error {
	if r.saveFile == "" {
		return nil
	}
	f, err := os.Create(r.saveFile)
	if err != nil {
		return errors.Wrap(err, "save the run")
	}
	if err := report.Summary().Write(f); err != nil {
		_ = f.Close() // The error of the write is returned.
		return err
	}
	return errors.Wrap(f.Close(), "save the run")
}

func readTrace(file string) (trace.Trace, error) {
	f, err := os.Open(file)
	if err != nil {
		return trace.Trace{}, errors.Wrap(err, "open the trace")
	}
	defer func() { _ = f.Close() }()
	t, err := trace.Read(f)
	return t, errors.Wrap(err, file)
}

// parseProcesses parses instance=id pairs.
func parseProcesses(text string) (map[string]int, error) {
	processes := map[string]int{}
	for pair := range strings.SplitSeq(text, ",") {
		if pair == "" {
			continue
		}
		name, value, _ := strings.Cut(pair, "=")
		id, err := strconv.Atoi(value)
		if err != nil || id <= 1 {
			return nil, errors.Errorf("process %q is not instance=id", pair)
		}
		processes[name] = id
	}
	return processes, nil
}
