package entry

import (
	"context"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/instance"
	"dandelionrail.org/rail/timer"
	"dandelionrail.org/rail/upstream"
)

// loadPollInterval is the minimum average time between two load reports that an entry polls.
const loadPollInterval = 250 * time.Millisecond

// maxLoadPolls bounds the concurrent polls for load reports.
const maxLoadPolls = 8

// pollLoads polls the upstreams assigned to this entry for their load and cache events.
func (d *Daemon) pollLoads(ctx context.Context) {
	cursors := map[rail.InstanceID]uint64{}
	for ctx.Err() == nil {
		targets := d.runner.PollTargets().Upstreams()
		results := make(chan []rail.Event, len(targets))
		limit := make(chan struct{}, maxLoadPolls)
		for _, u := range targets {
			limit <- struct{}{}
			from := cursors[u.ID()]
			d.group.Go(func(ctx context.Context) {
				defer func() { <-limit }()
				results <- d.pollUpstream(ctx, u, from)
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
		// With many upstreams, reports may be less frequent, since the entry counts its own dispatches after the last report.
		timer.Sleep(ctx, max(d.settings.LoadInterval(), time.Duration(len(targets))*loadPollInterval))
	}
}

// cursor is the sequence number at which the next read of an engine's cache events starts.
type cursor struct {
	instance rail.InstanceID
	next     uint64
}

// EventName implements rail.Event.
func (cursor) EventName() string { return "cursor" }

// pollUpstream polls one upstream and returns the resulting events.
func (d *Daemon) pollUpstream(ctx context.Context, u rail.Instance, from uint64) []rail.Event {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	load, err := d.readLoad(ctx, u)
	if err != nil {
		return []rail.Event{instance.NewUnreachable(u.ID())}
	}
	return append([]rail.Event{instance.NewReachable(u.ID()), rail.NewLoadRead(load)}, d.cacheEvents(ctx, u, from)...)
}

func (d *Daemon) readLoad(ctx context.Context, u rail.Instance) (rail.Load, error) {
	if u.Role() == rail.RoleService {
		return d.service.Load(ctx, u)
	}
	return d.engine.Load(ctx, u)
}

// cacheEvents reads an engine's cache events and returns them with the advanced cursor.
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
