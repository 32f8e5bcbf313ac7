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
	probeInterval = 100 * time.Millisecond
)

// WaitReady waits until every entry answers the trace's first stream, shortened to one token, and its first lookup.
func WaitReady(ctx context.Context, t trace.Trace, entries []string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for _, e := range entries {
		r := &replayer{client: caller.New([]string{e}, caller.Limits{Deadline: probeDeadline, IdleTimeout: probeDeadline, SearchTimeout: probeDeadline})}
		err := r.waitReady(ctx, probes(t))
		r.client.Close()
		if err != nil {
			return errors.Wrapf(err, "entry %s is not ready within %s", e, wait)
		}
	}
	return nil
}

// probes returns the requests that an entry must answer to count as ready.
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

// waitReady sends each probe until it is answered.
func (r *replayer) waitReady(ctx context.Context, ps []trace.Request) error {
	for _, q := range ps {
		for {
			result := r.sendRequest(ctx, q)
			if result.Outcome() == caller.Complete {
				break
			}
			select {
			case <-ctx.Done():
				return errors.Errorf("%s: %s %s", q.Kind(), result.Outcome(), result.Detail())
			case <-time.After(probeInterval):
			}
		}
	}
	return nil
}
