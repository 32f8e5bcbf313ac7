package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"dandelionrail.org/rail/cmd/railreplay/overhead"
)

type overheadCommand struct {
	entry   string
	engine  string
	model   string
	token   string
	pid     int
	streams int
	rounds  int
	tokens  int
}

func newOverheadCommand() *overheadCommand {
	return &overheadCommand{streams: 200, rounds: 3, tokens: 100}
}

func (o *overheadCommand) flags() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("overhead")
	s.Description = "Measures what an entry adds to the first token, against direct calls to the same engine."
	s.String(&o.entry, "e", "entry", "URL of the entry.")
	s.String(&o.engine, "", "engine", "URL of the engine.")
	s.String(&o.model, "m", "model", "Model that the engine serves.")
	s.String(&o.token, "t", "token", "Bearer token of a team.")
	s.Int(&o.pid, "", "process", "Process id of the entry, for its processor time.")
	s.Int(&o.streams, "", "streams", "Streams at once.")
	s.Int(&o.rounds, "", "rounds", "Streams after each other in each place.")
	s.Int(&o.tokens, "", "tokens", "Tokens of each stream.")
	return s
}

func (o *overheadCommand) run(ctx context.Context) (int, error) {
	if o.entry == "" || o.engine == "" || o.model == "" || o.streams <= 0 || o.rounds <= 0 || o.tokens <= 0 {
		return 0, errors.New("--entry, --engine and --model are required, and the numbers must be above zero")
	}
	load := overhead.Load{Streams: o.streams, Rounds: o.rounds, Tokens: o.tokens}
	direct, err := overhead.Measure(ctx, overhead.NewEngineTarget(o.engine, o.model), load, 0)
	if err != nil {
		return 0, errors.Wrap(err, "direct")
	}
	viaEntry, err := overhead.Measure(ctx, overhead.NewEntryTarget(o.entry, o.model, o.token), load, o.pid)
	if err != nil {
		return 0, errors.Wrap(err, "through the entry")
	}
	return 0, printOverhead(direct, viaEntry)
}

// printOverhead prints the direct measurement, that through the entry, and their difference.
func printOverhead(direct, viaEntry overhead.Result) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
	p("first token\tdirect\tentry\tadded\n")
	for _, q := range []float64{50, 95, 99} {
		d, e := direct.FirstToken(q), viaEntry.FirstToken(q)
		p("p%.0f\t%s\t%s\t%s\n", q, d, e, e-d)
	}
	p("between tokens\tdirect\tentry\tadded\n")
	for _, q := range []float64{50, 95, 99} {
		d, e := direct.InterTokenTime(q), viaEntry.InterTokenTime(q)
		p("p%.0f\t%s\t%s\t%s\n", q, d.Round(time.Microsecond), e, e-d)
	}
	p("tokens/s\t%.0f\t%.0f\n", direct.TokensPerSecond(), viaEntry.TokensPerSecond())
	if viaEntry.Cores() > 0 {
		p("entry\t%.2f cores\t%.0f tokens per core and second\n", viaEntry.Cores(), viaEntry.TokensPerCoreSecond())
	}
	return errors.Wrap(w.Flush(), "print")
}
