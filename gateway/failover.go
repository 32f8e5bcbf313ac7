package gateway

import (
	"context"
	"sync"
	"time"
)

// failoverInterval is the time between two checks whether another upstream can take a call whose failover timeout has passed.
const failoverInterval = 100 * time.Millisecond

// failover aborts an attempt that is not answered in time, once another one may follow.
type failover struct {
	gateway *Gateway
	ctx     context.Context
	call    *Call

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// startFailover starts the failover timeout of the attempt; ctx is that of the attempt.
func (g *Gateway) startFailover(ctx context.Context, e Send) *failover {
	f := &failover{gateway: g, ctx: ctx, call: e.call}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timer = time.AfterFunc(e.failoverTimeout, f.check)
	return f
}

func (f *failover) check() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return
	}
	f.gateway.Post(FailoverDue{call: f.call})
	if f.ctx.Err() == nil {
		f.timer.Reset(failoverInterval)
	}
}

// stop ends the failover timeout and reports whether the attempt goes on.
func (f *failover) stop() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
	f.timer.Stop()
	return f.ctx.Err() == nil
}
