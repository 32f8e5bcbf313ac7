package order_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/order"
)

var testStart = time.UnixMilli(1_700_000_000_000)

// entry is one part with a clock, and a log that only this entry and the test write to.
type entry struct {
	part    *order.Reducer
	now     time.Time // the entry's clock
	logTime time.Time
	next    rail.Offset
	appends []rail.Append
	calls   int
}

func newEntry(settings order.Settings) *entry {
	return &entry{part: order.New(settings, "works-hall", "a1"), now: testStart, logTime: testStart}
}

func testSettings() order.Settings {
	return order.Defaults().WithWindow(testWindow).WithRetention(testRetention)
}

func (e *entry) post(event rail.Event) []rail.Effect {
	effects := e.part.Reduce(rail.NewInput(event, e.now, 0))
	for _, effect := range effects {
		if a, ok := effect.(rail.Append); ok {
			e.appends = append(e.appends, a)
		}
	}
	return effects
}

// read hands records over as if they were appended now.
func (e *entry) read(bodies ...[]byte) []rail.Effect {
	var records []rail.Record
	for _, b := range bodies {
		records = append(records, rail.NewRecord(e.next, e.logTime, rail.RecordClaims, b))
		e.next++
	}
	return e.post(rail.NewLogRead(records, 0, e.next, true))
}

// readBack hands over the entry's own appends.
func (e *entry) readBack() []rail.Effect {
	var bodies [][]byte
	for _, a := range e.appends {
		bodies = append(bodies, a.Body())
	}
	e.appends = nil
	return e.read(bodies...)
}

func (e *entry) request(team rail.TeamName, body string) rail.Request {
	e.calls++
	return rail.NewRequest(rail.RequestID(fmt.Sprintf("r%d", e.calls)), team, "engraving", e.now).WithCall("POST", "/", []byte(body))
}

func (e *entry) submitKey(key rail.Key, body string) []rail.Effect {
	return e.post(order.NewSubmitted(e.request(testTeam, body).WithKey(key)))
}

func (e *entry) ticket() rail.Ticket {
	for _, effect := range e.post(order.NewTicketWanted("t", testTeam)) {
		if issued, ok := effect.(order.TicketIssued); ok {
			return issued.Ticket()
		}
	}
	return ""
}

// find returns the only effect of its type.
func find[E rail.Effect](effects []rail.Effect) (E, bool) {
	for _, effect := range effects {
		if e, ok := effect.(E); ok {
			return e, true
		}
	}
	var none E
	return none, false
}

func refusal(effects []rail.Effect) rail.Kind {
	r, _ := find[order.Refused](effects)
	return r.Kind()
}

func proceeds(effects []rail.Effect) bool {
	_, ok := find[order.Proceed](effects)
	return ok
}

// foreign returns a record of another entry.
func foreign(items string) []byte {
	return []byte(`{"owner":"b2","items":[` + items + `]}`)
}

func keyItem(kind string, id int, key rail.Key, rest string) string {
	return fmt.Sprintf(`{"type":%q,"id":%d,"team":%q,"key":%q%s}`, kind, id, testTeam, key, rest)
}

// digestOfTin returns what a claim of the order "tin" carries.
func digestOfTin(t *testing.T) string {
	e := newEntry(testSettings())
	e.read()
	e.submitKey(testKey(testStart, 1), "tin")
	var b struct{ Items []struct{ Digest string } }
	if err := json.Unmarshal(e.appends[0].Body(), &b); err != nil {
		t.Fatal(err)
	}
	return b.Items[0].Digest
}

func TestClaimIsJudgedByTheLogsTime(t *testing.T) {
	tests := []struct {
		name  string
		birth time.Duration // after the record's time
		clock time.Duration // the entry's clock, ahead of the log's
		run   bool
	}{
		{"in time", 0, 0, true},
		{"just in time", -testWindow, 0, true},
		{"too late", -testWindow - time.Millisecond, 0, false},
		{"a little ahead", time.Minute, 0, true},
		{"too far ahead", time.Minute + time.Millisecond, 0, false},
		{"in time, entry an hour ahead", 0, time.Hour, true},
		{"in time, entry a minute behind", 0, -time.Minute, true},
		{"too late, entry ten seconds behind", -testWindow - time.Millisecond, -10 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			e := newEntry(testSettings())
			e.read()
			e.now = e.now.Add(test.clock)
			is.Equal(refusal(e.submitKey(testKey(e.logTime.Add(test.birth), 1), "tin")), rail.KindNone)
			effects := e.readBack()
			is.Equal(proceeds(effects), test.run)
			if !test.run {
				is.Equal(refusal(effects), rail.KindKeyExpired)
			}
		})
	}
}

func TestKeysOfOtherEntries(t *testing.T) {
	key := testKey(testStart, 1)
	digest := `,"digest":"` + digestOfTin(t) + `"`
	held := keyItem("claim", 1, key, digest)
	ended := keyItem("outcome", 2, key, `,"claim":1,"status":200,"body":"ZG9uZQ=="`+digest)
	tests := []struct {
		name  string
		items []string // in the log before the own claim
		kind  rail.Kind
		run   bool
	}{
		{"free", nil, rail.KindNone, true},
		{"held", []string{held}, rail.KindNone, false},
		{"released", []string{held, keyItem("release", 2, key, `,"claim":1`)}, rail.KindNone, true},
		{"released by another claim", []string{held, keyItem("release", 2, key, `,"claim":9`)}, rail.KindNone, false},
		{"repeated after its release", []string{held, keyItem("release", 2, key, `,"claim":1`), held}, rail.KindNone, true},
		{"ended", []string{held, ended}, rail.KindNone, false},
		{"another order", []string{keyItem("claim", 1, key, `,"digest":"other"`)}, rail.KindKeyReused, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			e := newEntry(testSettings())
			e.read()
			e.submitKey(key, "tin")
			var bodies [][]byte
			for _, i := range test.items {
				bodies = append(bodies, foreign(i))
			}
			kind := refusal(e.read(bodies...))
			effects := e.readBack()
			is.Equal(kind, test.kind)
			is.Equal(proceeds(effects), test.run)
		})
	}
}

func TestRefusals(t *testing.T) {
	key := testKey(testStart, 1)
	tests := []struct {
		name    string
		prepare func(e *entry) []rail.Effect
		kind    rail.Kind
	}{
		{"no ticket and no key", func(e *entry) []rail.Effect {
			return e.post(order.NewSubmitted(e.request(testTeam, "tin")))
		}, rail.KindTicketRequired},
		{"key is no UUID", func(e *entry) []rail.Effect { return e.submitKey("tin-7", "tin") }, rail.KindBadRequest},
		{"key is a UUID of version 4", func(e *entry) []rail.Effect {
			return e.submitKey("f81d4fae-7dec-41d0-a765-00a0c91e6bf6", "tin")
		}, rail.KindBadRequest},
		{"log not read", func(e *entry) []rail.Effect {
			e.part = order.New(testSettings(), "works-hall", "a2")
			return e.submitKey(key, "tin")
		}, rail.KindNotReady},
		{"log away", func(e *entry) []rail.Effect {
			e.post(rail.NewLogUnavailable(nil))
			return e.submitKey(key, "tin")
		}, rail.KindPlatformUnavailable},
		{"claim not read back", func(e *entry) []rail.Effect {
			e.submitKey(key, "tin")
			e.now = e.now.Add(2 * time.Second)
			return e.post(rail.NewTimerFired("order.claims"))
		}, rail.KindPlatformUnavailable},
		{"key held elsewhere", func(e *entry) []rail.Effect {
			e.read(foreign(keyItem("claim", 1, key, "")))
			e.submitKey(key, "tin")
			e.now = e.now.Add(2 * time.Second)
			return e.post(rail.NewTimerFired("order.claims"))
		}, rail.KindKeyPending},
		{"key used for another order", func(e *entry) []rail.Effect {
			e.submitKey(key, "tin")
			return e.submitKey(key, "other tin")
		}, rail.KindKeyReused},
		{"key expired", func(e *entry) []rail.Effect {
			e.logTime = e.logTime.Add(testWindow + time.Second)
			e.read(foreign(""))
			return e.submitKey(key, "tin")
		}, rail.KindKeyExpired},
		{"key older than the records", func(e *entry) []rail.Effect {
			e.logTime = e.logTime.Add(3 * testWindow)
			e.read(foreign(""))
			return e.submitKey(key, "tin")
		}, rail.KindKeyForgotten},
		{"ticket of another team", func(e *entry) []rail.Effect {
			return e.post(order.NewSubmitted(e.request("office", "tin").WithTicket(e.ticket())))
		}, rail.KindForeignTicket},
		{"ticket never issued", func(e *entry) []rail.Effect {
			return e.post(order.NewSubmitted(e.request(testTeam, "tin").WithTicket("works-hall-a1-7")))
		}, rail.KindUnknownTicket},
		{"no ticket at all", func(e *entry) []rail.Effect {
			return e.post(order.NewSubmitted(e.request(testTeam, "tin").WithTicket("tin")))
		}, rail.KindUnknownTicket},
		{"ticket dropped", func(e *entry) []rail.Effect {
			ticket := e.ticket()
			e.now = e.now.Add(testWindow)
			e.post(rail.NewTimerFired("order.sweep"))
			return e.post(order.NewSubmitted(e.request(testTeam, "tin").WithTicket(ticket)))
		}, rail.KindIssuerGone},
		{"ticket used for another order", func(e *entry) []rail.Effect {
			ticket := e.ticket()
			e.post(order.NewSubmitted(e.request(testTeam, "tin").WithTicket(ticket)))
			return e.post(order.NewSubmitted(e.request(testTeam, "other tin").WithTicket(ticket)))
		}, rail.KindKeyReused},
		{"too many tickets", func(e *entry) []rail.Effect {
			e.ticket()
			e.ticket()
			return e.post(order.NewTicketWanted("t", testTeam))
		}, rail.KindOutcomesFull},
		{"too many outcomes", func(e *entry) []rail.Effect {
			e.submitKey(testKey(testStart, 2), "tin")
			e.submitKey(testKey(testStart, 3), "tin")
			return e.submitKey(key, "tin")
		}, rail.KindOutcomesFull},
		{"sealed", func(e *entry) []rail.Effect {
			e.post(order.NewSealed("b2"))
			return e.submitKey(key, "tin")
		}, rail.KindLeaving},
		{"issuer gone", func(e *entry) []rail.Effect {
			return e.post(order.NewForwardEnded("r1", rail.KindIssuerGone, rail.ServiceReply{}))
		}, rail.KindIssuerGone},
		{"answer too large to keep", func(e *entry) []rail.Effect {
			r := e.request(testTeam, "tin").WithTicket(e.ticket())
			e.post(order.NewSubmitted(r))
			e.post(order.NewEnded(r.ID(), rail.KindNone, rail.NewServiceReply(200, "", make([]byte, 17<<10))))
			return e.post(order.NewSubmitted(e.request(testTeam, "tin").WithTicket(r.Ticket())))
		}, rail.KindAnswerNotKept},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			e := newEntry(testSettings().WithMaxOpenTickets(2).WithMaxOutcomes(2))
			e.read()
			effects := test.prepare(e)
			is.Equal(refusal(effects), test.kind)
			is.True(!proceeds(effects))
		})
	}
}

// TestLateClaimOfUnreadKey lets an entry that read nothing for a window claim a key whose run was dropped from the log.
func TestLateClaimOfUnreadKey(t *testing.T) {
	is := is.New(t)
	e := newEntry(testSettings())
	e.read(foreign(""))
	key := testKey(testStart, 1)
	e.submitKey(key, "tin")
	// The log dropped the run of the key, but kept a record right after it.
	claim := rail.NewRecord(8, testStart.Add(testWindow+2*time.Minute), rail.RecordClaims, e.appends[0].Body())
	kept := rail.NewRecord(7, testStart.Add(time.Second), rail.RecordClaims, foreign(""))
	effects := e.post(rail.NewLogRead([]rail.Record{kept, claim}, 7, 9, true))
	is.True(!proceeds(effects))
	is.Equal(refusal(effects), rail.KindKeyForgotten)
}

func TestRepeatedAppendCarriesTheSameClaim(t *testing.T) {
	is := is.New(t)
	e := newEntry(testSettings())
	e.read()
	e.submitKey(testKey(testStart, 1), "tin")
	e.now = e.now.Add(time.Second)
	e.post(rail.NewTimerFired("order.repeat"))
	is.Equal(len(e.appends), 2)
	is.Equal(string(e.appends[0].Body()), string(e.appends[1].Body()))
	_, again := find[order.Proceed](e.read(e.appends[0].Body(), e.appends[1].Body()))
	is.True(again)
	is.True(!proceeds(e.read(e.appends[1].Body())))
}

// TestLateCopyOfRunningClaim lets the copy of a claim that won arrive after the window, while the order runs.
func TestLateCopyOfRunningClaim(t *testing.T) {
	is := is.New(t)
	e := newEntry(testSettings())
	e.read()
	e.submitKey(testKey(testStart, 1), "tin")
	claim := e.appends[0].Body()
	is.True(proceeds(e.readBack()))
	e.logTime = e.logTime.Add(testWindow + time.Second)
	is.Equal(refusal(e.read(claim)), rail.KindNone)
	answered, ok := find[order.Answered](e.post(order.NewEnded("r1", rail.KindNone, rail.NewServiceReply(201, "", nil))))
	is.True(ok)
	is.Equal(answered.Reply().Status(), 201)
}

func TestAbandonedClaimIsReleased(t *testing.T) {
	is := is.New(t)
	e := newEntry(testSettings())
	e.read()
	key := testKey(testStart, 1)
	e.submitKey(key, "tin")
	e.now = e.now.Add(3 * time.Second)
	effects := e.readBack() // before the timer
	is.True(!proceeds(effects))
	is.Equal(refusal(effects), rail.KindPlatformUnavailable)
	e.readBack()
	e.submitKey(key, "tin")
	e.post(rail.NewTimerFired("order.commit"))
	is.True(proceeds(e.readBack()))
}

func TestLostHandoverHasNoOtherSuccessor(t *testing.T) {
	is := is.New(t)
	e := newEntry(testSettings())
	e.ticket()
	sent, _ := find[order.HandOver](e.post(order.NewSealed("b2")))
	is.Equal(len(sent.Tickets()), 1)
	e.post(order.NewHandoverLost(sent.Number()))
	again, ok := find[order.HandOver](e.post(rail.NewTimerFired("order.handover")))
	is.True(ok)
	is.Equal(again.Successor(), rail.Incarnation("b2"))
	e.post(order.NewHandoverRefused(sent.Number()))
	_, ok = find[order.HandOver](e.post(order.NewSealed("c3")))
	is.True(!ok)
}

// TestHandoverRepeatedAfterItsTicketsAreDropped lets a message arrive again when its order ran a window ago.
func TestHandoverRepeatedAfterItsTicketsAreDropped(t *testing.T) {
	is := is.New(t)
	e := newEntry(testSettings())
	handover := order.NewTicketsReceived("h", "b2", 1, []order.TicketState{
		order.NewTicketState("old-mill-b2-1", testTeam, order.PhaseOpen, "", order.Outcome{}),
	})
	e.post(handover)
	r := e.request(testTeam, "tin").WithTicket("old-mill-b2-1")
	is.True(proceeds(e.post(order.NewSubmitted(r))))
	e.post(order.NewEnded(r.ID(), rail.KindNone, rail.ServiceReply{}))
	e.now = e.now.Add(testWindow)
	e.post(rail.NewTimerFired("order.sweep"))
	_, taken := find[order.TicketsTaken](e.post(handover))
	is.True(taken)
	is.True(!proceeds(e.post(order.NewSubmitted(e.request(testTeam, "tin").WithTicket(r.Ticket())))))
}

func TestRefusedHandoverMayHaveAnotherSuccessor(t *testing.T) {
	is := is.New(t)
	e := newEntry(testSettings())
	ticket := e.ticket()
	sent, _ := find[order.HandOver](e.post(order.NewSealed("b2")))
	e.post(order.NewHandoverRefused(sent.Number()))
	is.Equal(refusal(e.post(order.NewSubmitted(e.request(testTeam, "tin").WithTicket(ticket)))), rail.KindLeaving)
	again, _ := find[order.HandOver](e.post(order.NewSealed("c3")))
	is.Equal(again.Successor(), rail.Incarnation("c3"))
}

func TestManyOrdersShareOneAppend(t *testing.T) {
	is := is.New(t)
	e := newEntry(testSettings())
	e.read()
	for n := range 100 {
		e.submitKey(testKey(testStart, n), "tin")
	}
	e.now = e.now.Add(50 * time.Millisecond)
	e.post(rail.NewTimerFired("order.commit"))
	is.Equal(len(e.appends), 2) // the first claim at once, the others together
	var b struct{ Items []json.RawMessage }
	is.NoErr(json.Unmarshal(e.appends[1].Body(), &b))
	is.Equal(len(b.Items), 99)
}

func TestSettings(t *testing.T) {
	is := is.New(t)
	is.NoErr(order.Defaults().Validate())
	for _, s := range []order.Settings{
		order.Defaults().WithWindow(0),
		order.Defaults().WithRetention(2 * order.Defaults().Window()),
		order.Defaults().WithCommitDelay(0),
		order.Defaults().WithClaimTimeout(time.Millisecond),
		order.Defaults().WithMaxOutcomes(0),
		order.Defaults().WithMaxOpenTickets(0),
		order.Defaults().WithMaxAppendsPerSecond(0),
	} {
		is.True(s.Validate() != nil)
	}
}
