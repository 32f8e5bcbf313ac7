package entry_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/answer"
	"dandelionrail.org/rail/digest"
	"dandelionrail.org/rail/document"
	"dandelionrail.org/rail/entry"
	"dandelionrail.org/rail/instance"
	"dandelionrail.org/rail/order"
	"dandelionrail.org/rail/rollout"
	"dandelionrail.org/rail/team"
	"dandelionrail.org/rail/upstream"
)

const documentSource = `[environment]
name = production
[team.counter]
tokenHash = efe899c74558f20b08bbc19bf0228c0c25bddb7871d80bd34ac8b33c030b3698
share = 0.5
priority = 5
[route.drafts]
kind = model
serves = tin-writer
idempotent = true
stable = v1
[route.orders]
kind = service
serves = orders
idempotent = false
stable = v1
`

// newComposite returns the composite reducer of the entry breno-0.
func newComposite(extra ...rail.Reducer) *entry.Composite {
	me := rail.NewInstance("breno-0", "breno", rail.RoleEntry, "127.0.0.1:1").WithPeerAddress("127.0.0.1:2")
	instances := instance.New(me)
	upstreams := upstream.New(upstream.Defaults(), me.Domain())
	rollouts := rollout.New(rollout.Defaults(), me.Domain(), me.Incarnation())
	reducers := entry.NewReducers(
		instances,
		digest.New(instances),
		document.New(),
		upstreams,
		rollouts,
		team.New(team.Defaults(), me.Incarnation()),
		order.New(order.Defaults(), me.Domain(), me.Incarnation()),
		answer.New(answer.Defaults(), me.Domain(), instances, upstreams, rollouts),
	)
	for _, r := range extra {
		reducers = reducers.With(r)
	}
	return entry.NewComposite(me, reducers)
}

// newFleet returns other entries and upstreams, spread over the domains.
func newFleet(domains, entries, engines, services int) []rail.Instance {
	var instances []rail.Instance
	add := func(role rail.Role, n int, serves string) {
		for i := range n {
			d := []string{"breno", "edolo", "darfo", "sondrio", "pisogne", "iseo", "lovere", "aprica"}[i%domains]
			id := rail.InstanceID(fmt.Sprintf("%s-%s-%d", d, role, i))
			instances = append(instances, rail.NewInstance(id, rail.Domain(d), role, fmt.Sprintf("127.0.0.1:%d", 10+i)).
				WithPeerAddress("127.0.0.1:9").WithServing(serves, "v1"))
		}
	}
	add(rail.RoleEntry, entries, "")
	add(rail.RoleEngine, engines, "tin-writer")
	add(rail.RoleService, services, "orders")
	return instances
}

// driver passes events to a composite in simulated time.
type driver struct {
	composite *entry.Composite
	now       time.Time
	random    uint64
}

func newDriver(instances []rail.Instance) *driver {
	d := &driver{composite: newComposite(), now: time.Unix(1_800_000_000, 0)}
	d.reduce(rail.NewListRead(instances))
	d.reduce(rail.NewLogRead(d.documentRecords(), 0, 1, true))
	for _, i := range instances {
		if i.Role() != rail.RoleEntry {
			d.reduce(rail.NewLoadRead(rail.NewLoad(i.ID(), 0, 0, 8, d.now)))
		}
	}
	return d
}

// documentRecords returns the log record that publishes the first document.
func (d *driver) documentRecords() []rail.Record {
	body, err := document.NewPublication(rail.NewDocument("production", 1, nil, nil, nil, documentSource), 0)
	if err != nil {
		panic(err)
	}
	return []rail.Record{rail.NewRecord(0, d.now, rail.RecordDocument, body)}
}

func (d *driver) reduce(e rail.Event) []rail.Effect {
	d.now = d.now.Add(time.Millisecond)
	d.random += 0x9e3779b97f4a7c15
	return d.composite.Reduce(rail.NewInput(e, d.now, d.random))
}

// findEffect returns the first effect of the type.
func findEffect[T rail.Effect](es []rail.Effect) (T, bool) {
	for _, e := range es {
		if f, ok := e.(T); ok {
			return f, true
		}
	}
	var none T
	return none, false
}

func (d *driver) modelRequest(id string) rail.Request {
	return rail.NewRequest(rail.RequestID(id), "counter", "drafts", d.now).WithPrompt("draft a brief "+id, 16)
}

func (d *driver) orderRequest(id string) rail.Request {
	return rail.NewRequest(rail.RequestID(id), "counter", "orders", d.now).WithCall("POST", "/tins", []byte(id))
}

func TestRequestIsDispatchedAndFinished(t *testing.T) {
	is := is.New(t)
	d := newDriver(newFleet(2, 2, 4, 2))
	sent, ok := findEffect[rail.Dispatch](d.reduce(rail.NewRequestArrived(d.modelRequest("a"))))
	is.True(ok)
	is.Equal(sent.Upstream().Serves(), "tin-writer")
	done, ok := findEffect[answer.Finished](d.reduce(answer.NewEnded("a", sent.Attempt(), rail.NewUsage(3, 3, 16))))
	is.True(ok)
	is.Equal(done.Kind(), rail.KindNone)
}

func TestOrderNeedsTicketOrKey(t *testing.T) {
	is := is.New(t)
	d := newDriver(newFleet(2, 2, 4, 2))
	refused, ok := findEffect[order.Refused](d.reduce(rail.NewRequestArrived(d.orderRequest("a"))))
	is.True(ok)
	is.Equal(refused.Kind(), rail.KindTicketRequired)
}

func TestOrderWithTicketIsSentOnceAndRetryGetsItsOutcome(t *testing.T) {
	is := is.New(t)
	d := newDriver(newFleet(2, 2, 4, 2))
	issued, ok := findEffect[order.TicketIssued](d.reduce(order.NewTicketWanted("t", "counter")))
	is.True(ok)
	sent, ok := findEffect[rail.Dispatch](d.reduce(rail.NewRequestArrived(d.orderRequest("a").WithTicket(issued.Ticket()))))
	is.True(ok)
	_, again := findEffect[rail.Dispatch](d.reduce(rail.NewRequestArrived(d.orderRequest("a").WithTicket(issued.Ticket()))))
	is.True(!again)
	reply := rail.NewServiceReply(201, "text/plain", []byte("cut"))
	answered, ok := findEffect[order.Answered](d.reduce(answer.NewReplied("a", sent.Attempt(), reply)))
	is.True(ok)
	is.Equal(string(answered.Reply().Body()), "cut")
	es := d.reduce(rail.NewRequestArrived(d.orderRequest("a").WithTicket(issued.Ticket())))
	_, again = findEffect[rail.Dispatch](es)
	is.True(!again)
	answered, ok = findEffect[order.Answered](es)
	is.True(ok)
	is.Equal(answered.Reply().Status(), 201)
}

func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	d := newDriver(newFleet(2, 2, 4, 2))
	sent, ok := findEffect[rail.Dispatch](d.reduce(rail.NewRequestArrived(d.modelRequest("a"))))
	is.True(ok)
	leaving := sent.Upstream().ID()
	d.reduce(rail.NewInstanceLeaving(leaving, "notice"))
	for i := range 50 {
		sent, ok := findEffect[rail.Dispatch](d.reduce(rail.NewRequestArrived(d.modelRequest(fmt.Sprint(i)))))
		is.True(ok)
		is.True(sent.Upstream().ID() != leaving)
		// The request ends here, because an entry that has received no digest from a peer admits only its static share of the slots.
		d.reduce(answer.NewEnded(rail.RequestID(fmt.Sprint(i)), sent.Attempt(), rail.NewUsage(3, 3, 16)))
	}
}

func TestSilentUpstreamIsAvoided(t *testing.T) {
	is := is.New(t)
	d := newDriver(newFleet(2, 2, 4, 2))
	// All requests share one long prompt, so that the upstream whose cache holds it would be preferred.
	newRequest := func(id rail.RequestID) rail.Request {
		return rail.NewRequest(id, "counter", "drafts", d.now).WithPrompt(strings.Repeat("a tin with a name on it ", 100), 16)
	}
	sent, ok := findEffect[rail.Dispatch](d.reduce(rail.NewRequestArrived(newRequest("a"))))
	is.True(ok)
	d.reduce(answer.NewFailed("a", sent.Attempt(), rail.KindUpstreamSilent, 0))
	for i := range 8 {
		next, ok := findEffect[rail.Dispatch](d.reduce(rail.NewRequestArrived(newRequest(rail.RequestID(fmt.Sprint(i))))))
		is.True(ok)
		is.True(next.Upstream().ID() != sent.Upstream().ID())
		d.reduce(answer.NewEnded(next.Request().ID(), next.Attempt(), rail.NewUsage(1, 1, 1)))
	}
}

func TestReclaimHandsTicketsToOneSuccessorInAnotherDomain(t *testing.T) {
	is := is.New(t)
	d := newDriver(newFleet(2, 4, 4, 2))
	d.reduce(order.NewTicketWanted("t", "counter"))
	handed, ok := findEffect[order.HandOver](d.reduce(rail.NewShutdownStarted(true).WithDeadline(d.now.Add(5 * time.Second))))
	is.True(ok)
	is.True(len(handed.Tickets()) == 1)
	is.Equal(string(handed.Successor())[:5], "edolo")
}

// BenchmarkReduce measures the mean time per event of a streamed request at each size.
func BenchmarkReduce(b *testing.B) {
	for _, size := range []struct{ domains, entries, engines int }{{4, 9, 24}, {8, 81, 300}, {8, 330, 1200}} {
		b.Run(fmt.Sprintf("entries=%d/upstreams=%d", size.entries, size.engines), func(b *testing.B) {
			d := newDriver(newFleet(size.domains, size.entries, size.engines, 4))
			const marks = 8
			b.ResetTimer()
			for i := range b.N {
				id := fmt.Sprint(i)
				sent, ok := findEffect[rail.Dispatch](d.reduce(rail.NewRequestArrived(d.modelRequest(id))))
				if !ok {
					b.Fatal("not dispatched")
				}
				for m := range marks {
					d.reduce(answer.NewMarked(rail.RequestID(id), sent.Attempt(), 1+m*2))
				}
				d.reduce(answer.NewEnded(rail.RequestID(id), sent.Attempt(), rail.NewUsage(3, 3, 16)))
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*(marks+2)), "µs/event")
		})
	}
}
