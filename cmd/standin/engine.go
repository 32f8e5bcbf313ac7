package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/standin/engine"
	"dandelionrail.org/rail/standin/machine"
)

// exitTerminated is the exit code of an engine that a control request terminates.
const exitTerminated = 7

type engineCommand struct {
	upstream
	model         string
	slots         int
	tokenTime     time.Duration
	prefill       float64
	cacheBlocks   int
	loadLag       time.Duration
	cacheLag      time.Duration
	cacheGapShare float64
	checksFencing bool
}

func newEngineCommand() *engineCommand {
	return &engineCommand{upstream: newUpstream()}
}

func (e *engineCommand) flags() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("engine")
	s.Description = "Runs a model engine."
	e.bindFlags(s)
	s.String(&e.model, "m", "model", "Model that it serves.")
	s.Int(&e.slots, "", "slots", "Streams in the batch (default 16).")
	s.Duration(&e.tokenTime, "", "token-time", "Time of one token (default 26ms).")
	s.Float64(&e.prefill, "", "prefill-tokens-per-second", "Speed of computing the prompt (default 4000).")
	s.Int(&e.cacheBlocks, "", "cache-blocks", "Memory of the prefix cache in blocks of 16 tokens (default 4096).")
	s.Duration(&e.loadLag, "", "load-lag", "How old a load report is (default 200ms).")
	s.Duration(&e.cacheLag, "", "cache-lag", "How late cache events are published (default 300ms).")
	s.Float64(&e.cacheGapShare, "", "cache-gap-share", "Share of cache events that are lost.")
	s.Bool(&e.checksFencing, "", "checks-fencing", "Refuse orders with an old fencing number.")
	return s
}

func (e *engineCommand) run(ctx context.Context) error {
	l, err := listen(ctx, e.listen)
	if err != nil {
		return err
	}
	var m *machine.Registrar
	s := engine.New(engine.Settings{
		Model:                  e.model,
		Version:                e.version,
		Slots:                  e.slots,
		TokenTime:              e.tokenTime,
		PrefillTokensPerSecond: e.prefill,
		CacheBlocks:            e.cacheBlocks,
		LoadLag:                e.loadLag,
		CacheEventLag:          e.cacheLag,
		CacheGapShare:          e.cacheGapShare,
		ChecksFencing:          e.checksFencing,
		FetchWeights:           e.fetchWeights,
		OnServingChange:        func(model, version string) { m.SetServing(model, version) },
		Exit:                   func() { os.Exit(exitTerminated) },
	})
	defer s.Close()
	m = e.registrar(e.instance(rail.RoleEngine, e.model, l).WithFencing(e.checksFencing), s)
	return e.serve(ctx, l, s, m)
}

// fetchWeights downloads the weights of a version from the platform's weight store.
func (e *engineCommand) fetchWeights(ctx context.Context, model, version string) error {
	if e.platformURL == "" {
		return nil
	}
	address := fmt.Sprintf("%s/weights/%s/%s", e.platformURL, url.PathEscape(model), url.PathEscape(version))
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return errors.Wrap(err, "make the request")
	}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "call the weight store")
	}
	defer func() { _ = w.Body.Close() }()
	if w.StatusCode != http.StatusOK {
		return errors.Errorf("weight store answered %s", w.Status)
	}
	_, err = io.Copy(io.Discard, w.Body)
	return errors.Wrap(err, "read the weights")
}
