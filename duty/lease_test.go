package duty

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail/gateway"
)

const testLength = 3 * time.Second

// topic is the log that leases are written to.
type topic struct{ records []gateway.Record }

func (t *topic) claim(l *Lease, now time.Duration) bool {
	key, value, err := l.Claim(now, nil, time.Unix(0, 0))
	if err != nil || l.Next() != int64(len(t.records)) {
		return false
	}
	t.records = append(t.records, gateway.NewRecord(key, value, int64(len(t.records))))
	_, err = l.ClaimAppended(value, l.Next(), now)
	return err == nil
}

func (t *topic) follow(l *Lease, now time.Duration) error {
	return l.Apply(t.records[l.Next():], int64(len(t.records)), now)
}

func TestLeaseGoesToOneGatewayUnderAHigherFence(t *testing.T) {
	is := is.New(t)
	var log topic
	a, b := NewLease("a", "a1", testLength, 0), NewLease("b", "b1", testLength, 100*time.Millisecond)
	is.NoErr(log.follow(a, 0))
	is.NoErr(log.follow(b, 0))
	is.True(a.Due(0))
	is.True(log.claim(a, 0))
	is.True(a.Held(time.Second))
	is.True(!log.claim(b, 200*time.Millisecond)) // Its claim names an end that has passed.
	is.NoErr(log.follow(b, time.Second))
	is.True(!b.Due(3 * time.Second))
	is.True(b.Due(5 * time.Second)) // Not renewed for the length and its patience.
	is.True(log.claim(b, 5*time.Second))
	is.True(b.Fence() > 1)
	is.True(!a.Held(5 * time.Second)) // It ended before another could take it.
	is.NoErr(log.follow(a, 6*time.Second))
	is.True(!a.Held(6 * time.Second))
	is.Equal(a.Fence(), b.Fence())
}

func TestRenewalKeepsTheFence(t *testing.T) {
	is := is.New(t)
	var log topic
	a := NewLease("a", "a1", testLength, 0)
	is.NoErr(log.follow(a, 0))
	is.True(log.claim(a, 0))
	fence := a.Fence()
	for now := time.Second; now < 10*time.Second; now += time.Second {
		is.True(a.Due(now))
		is.True(log.claim(a, now))
		is.True(a.Held(now + time.Second))
	}
	is.Equal(a.Fence(), fence)
}

func TestFrozenHolderFindsOutBeforeItActs(t *testing.T) {
	is := is.New(t)
	var log topic
	a := NewLease("a", "a1", testLength, 0)
	is.NoErr(log.follow(a, 0))
	is.True(log.claim(a, 0))
	is.True(!a.Held(7 * time.Second)) // The clock runs on while the process is frozen.
	is.True(log.claim(a, 7*time.Second))
	is.Equal(a.Fence(), int64(2)) // Taken anew, under another fence.
}

func TestRestartedHolderTakesANewFence(t *testing.T) {
	is := is.New(t)
	var log topic
	a := NewLease("a", "a1", testLength, 0)
	is.NoErr(log.follow(a, 0))
	is.True(log.claim(a, 0))
	again := NewLease("a", "a2", testLength, 0)
	is.NoErr(log.follow(again, time.Second))
	is.True(!again.Held(time.Second))
	is.True(!again.Due(2 * time.Second))
	is.True(again.Due(4 * time.Second))
	is.True(log.claim(again, 4*time.Second))
	is.True(again.Fence() > a.Fence())
}

func TestWordOfTheHolderKeepsTheLease(t *testing.T) {
	is := is.New(t)
	var log topic
	a, b := NewLease("a", "a1", testLength, 0), NewLease("b", "b1", testLength, 0)
	is.NoErr(log.follow(a, 0))
	is.True(log.claim(a, 0))
	is.NoErr(log.follow(b, 0))
	is.True(b.ObserveHolder(a.Fence(), 4*time.Second))
	is.True(!b.Due(5 * time.Second))
	is.True(!b.ObserveHolder(a.Fence()+1, 6*time.Second)) // Another lease than the one known here.
	is.True(b.Due(8 * time.Second))
}

func TestUsageOfAWindowIsFixedOnce(t *testing.T) {
	is := is.New(t)
	a := NewLease("a", "a1", testLength, 0)
	key, value, err := a.FixUsage(40, map[string]int64{"engravers": 7})
	is.NoErr(err)
	b := NewLease("b", "b1", testLength, 0)
	is.NoErr(b.Apply([]gateway.Record{gateway.NewRecord(key, value, 0)}, 1, 0))
	counts, ok := b.Usage(40)
	is.True(ok)
	is.Equal(counts["engravers"], int64(7))
	_, ok = b.Usage(41)
	is.True(!ok)
}

func TestRecordThatCannotBeRead(t *testing.T) {
	is := is.New(t)
	a := NewLease("a", "a1", testLength, 0)
	is.True(a.Apply([]gateway.Record{gateway.NewRecord(keyLease, []byte("x"), 0)}, 1, 0) != nil)
	is.Equal(a.Next(), int64(1))
}
