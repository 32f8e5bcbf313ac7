package entry

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/team"
)

// loadSteps is the number of steps in which peers hear of a change of load.
const loadSteps = 8

// seats is the capacity that the teams share.
type seats struct {
	slots   int
	entries int
}

// learnLoad keeps account of the capacity and tells peers of a change worth telling.
func (c *Composite) learnLoad(l rail.Load) []rail.Effect {
	var effects []rail.Effect
	if l.Leaving() {
		effects = append(effects, rail.NewRaise(rail.NewInstanceLeaving(l.Instance(), "upstream")))
	}
	c.setSlots(l.Instance(), l.Slots())
	effects = append(effects, c.learnCapacity()...)
	step := strconv.Itoa(loadSteps * (l.Running() + l.Waiting()) / max(l.Slots(), 1))
	if c.polls(l.Instance()) && c.loads[l.Instance()] != step {
		c.loads[l.Instance()] = step
		effects = append(effects, rail.NewPublish(rail.FactLoad, string(l.Instance()), formatLoad(l)))
	}
	return effects
}

// setSlots keeps the sum of all slots, so that no report costs a pass over the fleet.
func (c *Composite) setSlots(id rail.InstanceID, n int) {
	c.total += n - c.slots[id]
	c.slots[id] = n
}

// learnCapacity tells the teams when slots or entries changed.
func (c *Composite) learnCapacity() []rail.Effect {
	now := seats{slots: c.total, entries: 1 + len(c.parts.instances.Peers())}
	if now == c.seats {
		return nil
	}
	c.seats = now
	return []rail.Effect{rail.NewRaise(team.NewCapacity(now.slots, now.entries))}
}

// learnRemoteLoads turns the facts of other domains into load reports.
func (c *Composite) learnRemoteLoads(fs []rail.Fact) []rail.Effect {
	var effects []rail.Effect
	for _, f := range fs {
		if f.Key().Kind() != rail.FactLoad || f.Key().Origin() == c.me.Incarnation() {
			continue
		}
		if l, ok := parseLoad(rail.InstanceID(f.Key().Subject()), f.Value()); ok && !c.polls(l.Instance()) {
			effects = append(effects, rail.NewRaise(rail.NewLoadRead(l)))
		}
	}
	return effects
}

// formatLoad returns running, waiting, slots and the time in milliseconds, parted by commas.
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

// polls reports whether this entry asks the upstream for its load.
func (c *Composite) polls(id rail.InstanceID) bool {
	i, ok := c.parts.instances.Instance(id)
	return ok && i.Domain() == c.me.Domain() && c.pollster(id) == c.me.ID()
}

// pollster returns the entry of this domain that asks the upstream: the one of
// the largest hash, so that all entries agree without talking.
func (c *Composite) pollster(upstream rail.InstanceID) rail.InstanceID {
	best, weight := c.me.ID(), pollWeight(c.me.ID(), upstream)
	for _, p := range c.parts.instances.Peers() {
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

// assignPolls says whose load this entry asks for after the list changed.
func (c *Composite) assignPolls() []rail.Effect {
	var mine, known []rail.Instance
	for _, i := range c.parts.instances.All() {
		switch {
		case i.Role() == rail.RoleEntry:
			known = append(known, i)
		case c.polls(i.ID()):
			mine = append(mine, i)
		}
	}
	for id := range c.slots {
		if _, ok := c.parts.instances.Instance(id); !ok {
			c.setSlots(id, 0)
			delete(c.slots, id)
			delete(c.loads, id)
		}
	}
	return append(c.learnCapacity(), PollTargets{upstreams: mine, peers: c.parts.instances.Peers(), known: known})
}
