package entry

import (
	"context"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/instance"
	"dandelionrail.org/rail/timer"
	"dandelionrail.org/rail/upstream"
)

// loadPause is the least time between two load reports that an entry asks for.
const loadPause = 250 * time.Millisecond

// loadPollers bounds the load reports asked for at one time.
const loadPollers = 8

// pollLoads asks the upstreams that fall to this entry for their load and cache events.
func (d *Daemon) pollLoads(ctx context.Context) {
	cursors := map[rail.InstanceID]uint64{}
	for ctx.Err() == nil {
		targets := d.effects.Polls().Upstreams()
		results := make(chan []rail.Event, len(targets))
		limit := make(chan struct{}, loadPollers)
		for _, u := range targets {
			limit <- struct{}{}
			from := cursors[u.ID()]
			d.group.Go(func(ctx context.Context) {
				defer func() { <-limit }()
				results <- d.pollOne(ctx, u, from)
			})
		}
		for range targets {
			for _, e := range <-results {
				if c, ok := e.(cursor); ok {
					cursors[c.instance] = c.next
					continue
				}
				_ = d.loop.PostWait(ctx, e)
			}
		}
		// Own dispatches since the last report are counted, so that reports may be rarer where there are many upstreams.
		timer.Sleep(ctx, max(d.settings.LoadInterval(), time.Duration(len(targets))*loadPause))
	}
}

// cursor is where the next read of an engine's cache events starts.
type cursor struct {
	instance rail.InstanceID
	next     uint64
}

// EventName implements rail.Event.
func (cursor) EventName() string { return "cursor" }

// pollOne returns what one upstream says of itself.
func (d *Daemon) pollOne(ctx context.Context, u rail.Instance, from uint64) []rail.Event {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	load, err := d.load(ctx, u)
	if err != nil {
		return []rail.Event{instance.NewUnreachable(u.ID())}
	}
	return append([]rail.Event{instance.NewReachable(u.ID()), rail.NewLoadRead(load)}, d.cacheEvents(ctx, u, from)...)
}

func (d *Daemon) load(ctx context.Context, u rail.Instance) (rail.Load, error) {
	if u.Role() == rail.RoleService {
		return d.service.Load(ctx, u)
	}
	return d.engine.Load(ctx, u)
}

// cacheEvents reads an engine's cache events and moves the cursor behind them.
func (d *Daemon) cacheEvents(ctx context.Context, u rail.Instance, from uint64) []rail.Event {
	if u.Role() != rail.RoleEngine {
		return nil
	}
	events, err := d.engine.CacheEvents(ctx, u, from)
	if err != nil || len(events) == 0 {
		return nil
	}
	return []rail.Event{upstream.NewCacheRead(events), cursor{instance: u.ID(), next: events[len(events)-1].Sequence() + 1}}
}
