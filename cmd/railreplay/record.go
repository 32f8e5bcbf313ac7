package main

import (
	"context"
	"os"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"dandelionrail.org/rail/cmd/railreplay/recording"
	"dandelionrail.org/rail/cmd/railreplay/trace"
)

type recordCommand struct {
	name string
	seed uint64
}

func newRecordCommand() *recordCommand { return &recordCommand{seed: 7} }

func (r *recordCommand) flags() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("record")
	s.Description = "Makes a trace from a seed and writes it to standard output; names: " + strings.Join(recording.Names(), ", ") + "."
	s.AddPositionalValue(&r.name, "NAME", 1, true, "Name of the trace.")
	s.UInt64(&r.seed, "s", "seed", "Seed; equal seeds give equal traces.")
	return s
}

func (r *recordCommand) run(context.Context) (int, error) {
	t, err := recording.Generate(r.name, r.seed)
	if err != nil {
		return 0, err
	}
	return 0, errors.Wrap(trace.Write(os.Stdout, t), "write the trace")
}
