package group

import (
	"context"
	"sync"
)

// Group is a set of goroutines that share a context.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns an empty group whose context ends with the parent or when Stop is called.
func New(parent context.Context) *Group {
	ctx, cancel := context.WithCancel(parent)
	return &Group{ctx: ctx, cancel: cancel}
}

// Go runs f in a goroutine of the group.
func (g *Group) Go(f func(ctx context.Context)) {
	g.wg.Go(func() { f(g.ctx) })
}

// Context returns the group's context.
func (g *Group) Context() context.Context { return g.ctx }

// Stop cancels the context and waits for all goroutines.
func (g *Group) Stop() {
	g.cancel()
	g.wg.Wait()
}

// Wait waits for all goroutines without cancelling the context.
func (g *Group) Wait() { g.wg.Wait() }
