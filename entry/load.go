package entry

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/team"
)

// loadSteps is the number of steps per full load; peers receive an upstream's load when its step changes.
const loadSteps = 8

// capacity is the total number of slots and the number of entries that divide them among the teams.
type capacity struct {
	slots   int
	entries int
}

// handleLoad updates the capacity and publishes the load to peers when its step has changed.
func (c *Composite) handleLoad(l rail.Load) []rail.Effect {
	var effects []rail.Effect
	if l.Leaving() {
		effects = append(effects, rail.NewRaise(rail.NewInstanceLeaving(l.Instance(), "upstream")))
	}
	c.setSlots(l.Instance(), l.Slots())
	effects = append(effects, c.updateCapacity()...)
	step := strconv.Itoa(loadSteps * (l.Running() + l.Waiting()) / max(l.Slots(), 1))
	if c.pollsUpstream(l.Instance()) && c.publishedSteps[l.Instance()] != step {
		c.publishedSteps[l.Instance()] = step
		effects = append(effects, rail.NewPublish(rail.FactLoad, string(l.Instance()), formatLoad(l)))
	}
	return effects
}

// setSlots updates the running total of slots, so that a load report needs no pass over the fleet.
func (c *Composite) setSlots(id rail.InstanceID, n int) {
	c.totalSlots += n - c.slots[id]
	c.slots[id] = n
}

// updateCapacity reports a changed number of slots or entries to the team reducer.
func (c *Composite) updateCapacity() []rail.Effect {
	now := capacity{slots: c.totalSlots, entries: 1 + len(c.reducers.instances.Peers())}
	if now == c.capacity {
		return nil
	}
	c.capacity = now
	return []rail.Effect{rail.NewRaise(team.NewCapacity(now.entries))}
}

// handleRemoteLoads turns facts of other entries into load reports of the upstreams that this entry does not poll.
func (c *Composite) handleRemoteLoads(fs []rail.Fact) []rail.Effect {
	var effects []rail.Effect
	for _, f := range fs {
		if f.Key().Kind() != rail.FactLoad || f.Key().Origin() == c.me.Incarnation() {
			continue
		}
		if l, ok := parseLoad(rail.InstanceID(f.Key().Subject()), f.Value()); ok && !c.pollsUpstream(l.Instance()) {
			effects = append(effects, rail.NewRaise(rail.NewLoadRead(l)))
		}
	}
	return effects
}

// formatLoad returns running, waiting, slots and the Unix time in milliseconds, separated by commas.
func formatLoad(l rail.Load) string {
	fields := []int64{int64(l.Running()), int64(l.Waiting()), int64(l.Slots()), l.AsOf().UnixMilli()}
	texts := make([]string, 0, len(fields))
	for _, f := range fields {
		texts = append(texts, strconv.FormatInt(f, 10))
	}
	return strings.Join(texts, ",")
}

func parseLoad(id rail.InstanceID, value string) (rail.Load, bool) {
	const fields = 4
	texts := strings.Split(value, ",")
	if len(texts) != fields {
		return rail.Load{}, false
	}
	var ns [fields]int64
	for i, t := range texts {
		n, err := strconv.ParseInt(t, 10, 64)
		if err != nil {
			return rail.Load{}, false
		}
		ns[i] = n
	}
	return rail.NewLoad(id, int(ns[0]), int(ns[1]), int(ns[2]), time.UnixMilli(ns[3])), true
}

// pollsUpstream reports whether this entry polls the upstream for its load.
func (c *Composite) pollsUpstream(id rail.InstanceID) bool {
	i, ok := c.reducers.instances.Instance(id)
	return ok && i.Domain() == c.me.Domain() && c.pollerOf(id) == c.me.ID()
}

// pollerOf returns the entry of this domain that polls the upstream. It is chosen
// by rendezvous hashing, so that all entries agree without communicating.
func (c *Composite) pollerOf(upstream rail.InstanceID) rail.InstanceID {
	best, weight := c.me.ID(), pollWeight(c.me.ID(), upstream)
	for _, p := range c.reducers.instances.Peers() {
		if p.Domain() != c.me.Domain() {
			continue
		}
		if w := pollWeight(p.ID(), upstream); w > weight {
			best, weight = p.ID(), w
		}
	}
	return best
}

func pollWeight(entry, upstream rail.InstanceID) uint64 {
	return xxhash.Sum64String(string(entry) + "/" + string(upstream))
}

// updatePollTargets returns the upstreams to poll after the instance list has changed.
func (c *Composite) updatePollTargets() []rail.Effect {
	var polled, known []rail.Instance
	for _, i := range c.reducers.instances.All() {
		switch {
		case i.Role() == rail.RoleEntry:
			known = append(known, i)
		case c.pollsUpstream(i.ID()):
			polled = append(polled, i)
		}
	}
	for id := range c.slots {
		if _, ok := c.reducers.instances.Instance(id); !ok {
			c.setSlots(id, 0)
			delete(c.slots, id)
			delete(c.publishedSteps, id)
		}
	}
	return append(c.updateCapacity(), PollTargets{upstreams: polled, peers: c.reducers.instances.Peers(), known: known})
}
