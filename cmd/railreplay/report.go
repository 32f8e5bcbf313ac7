package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"dandelionrail.org/rail/cmd/railreplay/replay"
)

type reportCommand struct{ files string }

func newReportCommand() *reportCommand { return &reportCommand{} }

func (r *reportCommand) flags() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("report")
	s.Description = "Compares runs that were saved with run --save."
	s.AddPositionalValue(&r.files, "FILES", 1, true, "Saved runs, separated by commas.")
	return s
}

func (r *reportCommand) run(context.Context) (int, error) {
	var names []string
	var summaries []replay.Summary
	for file := range strings.SplitSeq(r.files, ",") {
		s, err := readSummary(file)
		if err != nil {
			return 0, err
		}
		names = append(names, strings.TrimSuffix(filepath.Base(file), filepath.Ext(file)))
		summaries = append(summaries, s)
	}
	return 0, replay.Compare(os.Stdout, names, summaries)
}

func readSummary(file string) (replay.Summary, error) {
	f, err := os.Open(file)
	if err != nil {
		return replay.Summary{}, errors.Wrap(err, "open the run")
	}
	defer func() { _ = f.Close() }()
	s, err := replay.ReadSummary(f)
	return s, errors.Wrap(err, file)
}
