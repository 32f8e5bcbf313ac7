package fleet

import (
	"encoding/json"
	"time"

	"dandelionrail.org/rail"
)

// claim is the body of a RecordLease.
type claim struct {
	Holder rail.Incarnation `json:"holder"`
	Serial int              `json:"serial"`
	TermMs int64            `json:"termMs"`
}

type fleetRecordKind string

const (
	recordPlanned fleetRecordKind = "planned"
	recordBought  fleetRecordKind = "bought"
	recordRefused fleetRecordKind = "refused"
)

// fleetRecord is the body of a RecordFleet: a plan of the holder, or the outcome of one purchase.
type fleetRecord struct {
	Kind      fleetRecordKind   `json:"kind"`
	Fencing   rail.Offset       `json:"fencing,omitempty"`
	Base      rail.Offset       `json:"base,omitempty"`
	Purchases []purchase        `json:"wants,omitempty"`
	Releases  []rail.InstanceID `json:"releases,omitempty"`
	Token     string            `json:"token,omitempty"`
	Instance  rail.InstanceID   `json:"instance,omitempty"`
}

// purchase is a planned purchase of one instance.
type purchase struct {
	Token   string       `json:"token"`
	Domain  rail.Domain  `json:"domain"`
	Class   rail.Class   `json:"class"`
	Price   float64      `json:"price"`
	Serves  string       `json:"serves"`
	Version rail.Version `json:"version"`
}

func (p purchase) poolKey() poolKey { return poolKey{p.Domain, p.Class} }

func (p purchase) group() group { return group{p.Serves, p.Version} }

func marshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return b
}

// lease is the valid claim.
type lease struct {
	holder  rail.Incarnation
	serial  int
	fencing rail.Offset
	until   time.Time
}

// startingInstance is an instance that was bought and may not be listed yet; at is the time of the record of its outcome.
type startingInstance struct {
	purchase purchase
	at       time.Time
}

// logState is the state replicated through the log; all readers of the same records have the same state.
type logState struct {
	lease         lease
	lastPlan      rail.Offset
	openPurchases map[string]purchase
	openTokens    []string
	refusedAt     map[poolKey]time.Time
	starting      map[rail.InstanceID]startingInstance
	releasing     map[rail.InstanceID]bool
}

type poolKey struct {
	domain rail.Domain
	class  rail.Class
}

func newLogState() *logState {
	return &logState{
		lastPlan: noPlan, openPurchases: map[string]purchase{}, refusedAt: map[poolKey]time.Time{},
		starting: map[rail.InstanceID]startingInstance{}, releasing: map[rail.InstanceID]bool{},
	}
}

// apply applies the next record of the log.
func (s *logState) apply(r rail.Record) {
	switch r.Kind() {
	case rail.RecordLease:
		var c claim
		if json.Unmarshal(r.Body(), &c) == nil && c.Holder != "" && c.TermMs > 0 {
			s.applyClaim(c, r)
		}
	case rail.RecordFleet:
		var e fleetRecord
		if json.Unmarshal(r.Body(), &e) == nil {
			s.applyFleetRecord(e, r)
		}
	}
}

// applyClaim renews the lease for its holder; the first claim after its end by the log's clock takes it under a new
// fencing number.
func (s *logState) applyClaim(c claim, r rail.Record) {
	until := r.At().Add(time.Duration(c.TermMs) * time.Millisecond)
	switch {
	case s.lease.holder != "" && r.At().Before(s.lease.until):
		if c.Holder == s.lease.holder {
			s.lease.serial, s.lease.until = c.Serial, until
		}
	default:
		s.lease = lease{holder: c.Holder, serial: c.Serial, fencing: r.Offset(), until: until}
	}
}

// noPlan is the base of the first plan in place of an offset.
const noPlan rail.Offset = -1

// applyFleetRecord applies a plan or the outcome of an open purchase.
func (s *logState) applyFleetRecord(e fleetRecord, r rail.Record) {
	purchase, open := s.openPurchases[e.Token]
	switch {
	case e.Kind == recordPlanned:
		s.applyPlan(e, r)
	case e.Kind == recordBought && open:
		s.starting[e.Instance] = startingInstance{purchase: purchase, at: r.At()}
		s.closePurchase(e.Token)
	case e.Kind == recordRefused && open:
		s.refusedAt[purchase.poolKey()] = r.At()
		s.closePurchase(e.Token)
	}
}

// applyPlan applies a plan unless its writer no longer held the lease or had not
// read the last plan: a late record must not add to the plan that replaced it.
func (s *logState) applyPlan(e fleetRecord, r rail.Record) {
	if e.Fencing != s.lease.fencing || !r.At().Before(s.lease.until) || e.Base != s.lastPlan {
		return
	}
	s.lastPlan = r.Offset()
	for _, purchase := range e.Purchases {
		s.openPurchases[purchase.Token] = purchase
		s.openTokens = append(s.openTokens, purchase.Token)
	}
	for _, id := range e.Releases {
		s.releasing[id] = true
	}
}

func (s *logState) closePurchase(token string) {
	delete(s.openPurchases, token)
	for i, t := range s.openTokens {
		if t == token {
			s.openTokens = append(s.openTokens[:i:i], s.openTokens[i+1:]...)
			return
		}
	}
}
