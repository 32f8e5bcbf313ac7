package duty

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail/gateway"
)

const testLength = 3 * time.Second

// memoryTopic keeps the records of the topic in memory.
type memoryTopic struct{ records []gateway.Record }

func (t *memoryTopic) claim(l *Lease, now time.Duration) bool {
	key, value, err := l.Claim(now, nil, time.Unix(0, 0))
	if err != nil || l.Next() != int64(len(t.records)) {
		return false
	}
	t.records = append(t.records, gateway.NewRecord(key, value, int64(len(t.records))))
	_, err = l.ClaimAppended(value, l.Next(), now)
	return err == nil
}

func (t *memoryTopic) read(l *Lease, now time.Duration) error {
	return l.Apply(t.records[l.Next():], int64(len(t.records)), now)
}

func TestLeaseGoesToOneGatewayUnderAHigherFence(t *testing.T) {
	is := is.New(t)
	var topic memoryTopic
	a, b := NewLease("a", "a1", testLength, 0), NewLease("b", "b1", testLength, 100*time.Millisecond)
	is.NoErr(topic.read(a, 0))
	is.NoErr(topic.read(b, 0))
	is.True(a.Due(0))
	is.True(topic.claim(a, 0))
	is.True(a.Held(time.Second))
	is.True(!topic.claim(b, 200*time.Millisecond)) // Its claim names an outdated end of the topic.
	is.NoErr(topic.read(b, time.Second))
	is.True(!b.Due(3 * time.Second))
	is.True(b.Due(5 * time.Second)) // Not renewed for the length and the takeover delay.
	is.True(topic.claim(b, 5*time.Second))
	is.True(b.Fence() > 1)
	is.True(!a.Held(5 * time.Second)) // It expired before another gateway could take it.
	is.NoErr(topic.read(a, 6*time.Second))
	is.True(!a.Held(6 * time.Second))
	is.Equal(a.Fence(), b.Fence())
}

func TestRenewalKeepsTheFence(t *testing.T) {
	is := is.New(t)
	var topic memoryTopic
	a := NewLease("a", "a1", testLength, 0)
	is.NoErr(topic.read(a, 0))
	is.True(topic.claim(a, 0))
	fence := a.Fence()
	for now := time.Second; now < 10*time.Second; now += time.Second {
		is.True(a.Due(now))
		is.True(topic.claim(a, now))
		is.True(a.Held(now + time.Second))
	}
	is.Equal(a.Fence(), fence)
}

func TestPausedHolderClaimsAgainBeforeActing(t *testing.T) {
	is := is.New(t)
	var topic memoryTopic
	a := NewLease("a", "a1", testLength, 0)
	is.NoErr(topic.read(a, 0))
	is.True(topic.claim(a, 0))
	is.True(!a.Held(7 * time.Second)) // The clock continues while the process is paused.
	is.True(topic.claim(a, 7*time.Second))
	is.Equal(a.Fence(), int64(2)) // Taken again, under another fence.
}

func TestRestartedHolderTakesANewFence(t *testing.T) {
	is := is.New(t)
	var topic memoryTopic
	a := NewLease("a", "a1", testLength, 0)
	is.NoErr(topic.read(a, 0))
	is.True(topic.claim(a, 0))
	again := NewLease("a", "a2", testLength, 0)
	is.NoErr(topic.read(again, time.Second))
	is.True(!again.Held(time.Second))
	is.True(!again.Due(2 * time.Second))
	is.True(again.Due(4 * time.Second))
	is.True(topic.claim(again, 4*time.Second))
	is.True(again.Fence() > a.Fence())
}

func TestObservedHolderKeepsTheLease(t *testing.T) {
	is := is.New(t)
	var topic memoryTopic
	a, b := NewLease("a", "a1", testLength, 0), NewLease("b", "b1", testLength, 0)
	is.NoErr(topic.read(a, 0))
	is.True(topic.claim(a, 0))
	is.NoErr(topic.read(b, 0))
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

func TestUndecodableRecord(t *testing.T) {
	is := is.New(t)
	a := NewLease("a", "a1", testLength, 0)
	is.True(a.Apply([]gateway.Record{gateway.NewRecord(keyLease, []byte("x"), 0)}, 1, 0) != nil)
	is.Equal(a.Next(), int64(1))
}
