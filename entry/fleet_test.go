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

// cloud runs the timers, appends and purchases of one composed entry in fake time.
type cloud struct {
	*driver
	timers  map[rail.TimerName]time.Time
	next    rail.Offset
	bought  map[string]rail.Instance
	loses   int
	buys    int
	records []rail.Record
}

// run carries out effects and fires timers for the time.
func (c *cloud) run(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(step)
		for name, at := range c.timers {
			if !at.After(c.now) {
				delete(c.timers, name)
				c.do(c.take(rail.NewTimerFired(name)))
			}
		}
		records := c.records
		c.records = nil
		c.do(c.take(rail.NewLogRead(records, 0, c.next, true)))
	}
}

func (c *cloud) do(effects []rail.Effect) {
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

// buy starts one instance a token, and loses some answers.
func (c *cloud) buy(e fleet.Buy) {
	c.buys++
	i, ok := c.bought[e.Token()]
	if !ok {
		id := rail.InstanceID(fmt.Sprintf("m%d", len(c.bought)))
		i = rail.NewInstance(id, e.Offer().Domain(), rail.RoleEngine, "127.0.0.1:9").WithServing(e.Serves(), e.Version())
		c.bought[e.Token()] = i
	}
	if c.loses > 0 {
		c.loses--
		return
	}
	c.do(c.take(fleet.NewBought(e.Token(), i.ID())))
}

func TestEntryBuysWhatTheDocumentNeeds(t *testing.T) {
	is := is.New(t)
	c := &cloud{driver: newDriver(nil), timers: map[rail.TimerName]time.Time{}, next: 1, bought: map[string]rail.Instance{}, loses: 2}
	c.composite = newComposite(fleet.New(fleet.Defaults(), "breno-0"))
	c.do(c.take(rail.NewListRead(nil)))
	c.do(c.take(instance.NewFetched(nil)))
	c.do(c.take(rail.NewLogRead(c.publication(), 0, 1, true)))
	c.do(c.take(fleet.NewOffersRead([]rail.Offer{
		rail.NewOffer("breno", rail.ClassReclaimable, 0.4), rail.NewOffer("edolo", rail.ClassReclaimable, 0.3),
	})))
	c.run(2 * time.Minute)
	domains := map[string]int{}
	for _, i := range c.bought {
		domains[i.Serves()+" in "+string(i.Domain())]++
	}
	// One instance must be left of each when a domain goes.
	is.Equal(len(domains), 4)
	is.Equal(len(c.bought), 4)
	is.Equal(c.buys, 6) // Two answers were lost and asked for again.
}
