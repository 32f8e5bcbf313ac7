package replay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"dandelionrail.org/rail/cmd/railreplay/caller"
	"dandelionrail.org/rail/cmd/railreplay/trace"
)

const (
	probeDeadline = time.Second
	probePause    = 100 * time.Millisecond
)

// WaitReady waits until every entry answers the trace's first stream, in one token, and its first lookup.
func WaitReady(ctx context.Context, t trace.Trace, entries []string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for _, e := range entries {
		r := &replayer{client: caller.New([]string{e}, caller.Limits{Deadline: probeDeadline, IdleTimeout: probeDeadline, SearchTimeout: probeDeadline})}
		err := r.ready(ctx, probes(t))
		r.client.Close()
		if err != nil {
			return errors.Wrapf(err, "entry %s is not ready within %s", e, wait)
		}
	}
	return nil
}

// probes returns the requests by which an entry shows that it serves.
func probes(t trace.Trace) []trace.Request {
	var ps []trace.Request
	var stream, lookup bool
	for _, q := range t.Requests() {
		switch {
		case q.Kind() == trace.Stream && !stream:
			stream = true
			ps = append(ps, trace.NewStream(0, q.Caller(), q.Model(), q.Prompt(), 1))
		case q.Kind() == trace.Lookup && !lookup:
			lookup = true
			ps = append(ps, q)
		}
	}
	return ps
}

// ready sends the probes until each is answered.
func (r *replayer) ready(ctx context.Context, ps []trace.Request) error {
	for _, q := range ps {
		for {
			result := r.ask(ctx, q)
			if result.Outcome() == caller.Complete {
				break
			}
			select {
			case <-ctx.Done():
				return errors.Errorf("%s: %s %s", q.Kind(), result.Outcome(), result.Detail())
			case <-time.After(probePause):
			}
		}
	}
	return nil
}
