package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/fleet"
	"dandelionrail.org/rail/instance"
)

// cloudSimulation runs the timers, appends and purchases of one composite in simulated time.
type cloudSimulation struct {
	*driver
	timers        map[rail.TimerName]time.Time
	next          rail.Offset
	bought        map[string]rail.Instance
	lostResponses int
	buys          int
	records       []rail.Record
}

// advance advances the time by d, fires due timers and applies their effects.
func (c *cloudSimulation) advance(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(step)
		for name, at := range c.timers {
			if !at.After(c.now) {
				delete(c.timers, name)
				c.apply(c.reduce(rail.NewTimerFired(name)))
			}
		}
		records := c.records
		c.records = nil
		c.apply(c.reduce(rail.NewLogRead(records, 0, c.next, true)))
	}
}

func (c *cloudSimulation) apply(effects []rail.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case rail.SetTimer:
			c.timers[e.Name()] = c.now.Add(e.After())
		case rail.Append:
			c.records = append(c.records, rail.NewRecord(c.next, c.now, e.Kind(), e.Body()))
			c.next++
		case fleet.Buy:
			c.buy(e)
		}
	}
}

// buy starts one instance per token, and loses the first lostAnswers responses.
func (c *cloudSimulation) buy(e fleet.Buy) {
	c.buys++
	i, ok := c.bought[e.Token()]
	if !ok {
		id := rail.InstanceID(fmt.Sprintf("m%d", len(c.bought)))
		i = rail.NewInstance(id, e.Offer().Domain(), rail.RoleEngine, "127.0.0.1:9").WithServing(e.Serves(), e.Version())
		c.bought[e.Token()] = i
	}
	if c.lostResponses > 0 {
		c.lostResponses--
		return
	}
	c.apply(c.reduce(fleet.NewBought(e.Token(), i.ID())))
}

func TestEntryBuysRequiredCapacity(t *testing.T) {
	is := is.New(t)
	c := &cloudSimulation{driver: newDriver(nil), timers: map[rail.TimerName]time.Time{}, next: 1, bought: map[string]rail.Instance{}, lostResponses: 2}
	c.composite = newComposite(fleet.New(fleet.Defaults(), "breno-0"))
	c.apply(c.reduce(rail.NewListRead(nil)))
	c.apply(c.reduce(instance.NewFetched(nil)))
	c.apply(c.reduce(rail.NewLogRead(c.documentRecords(), 0, 1, true)))
	c.apply(c.reduce(fleet.NewOffersRead([]rail.Offer{
		rail.NewOffer("breno", rail.ClassReclaimable, 0.4), rail.NewOffer("edolo", rail.ClassReclaimable, 0.3),
	})))
	c.advance(2 * time.Minute)
	domains := map[string]int{}
	for _, i := range c.bought {
		domains[i.Serves()+" in "+string(i.Domain())]++
	}
	// One instance of each must remain after the loss of a domain.
	is.Equal(len(domains), 4)
	is.Equal(len(c.bought), 4)
	is.Equal(c.buys, 6) // Two responses were lost, and their purchases retried.
}
