package duty

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail/gateway"
)

const testLength = 3 * time.Second

// memoryTopic keeps the records of the topic in memory.
type memoryTopic struct{ records []gateway.Record }

func (t *memoryTopic) claim(l *Lease, now time.Duration) bool {
	key, value, err := l.Claim(now, nil, time.Unix(0, 0), 0)
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

// restoredTo makes the lease read a topic that was restored to the records, in the era.
func restoredTo(l *Lease, records []gateway.Record, era int64, at time.Duration) error {
	l.BeginEra(era, at)
	return l.Apply(records, int64(len(records)), at)
}

// takenAfterARelease returns a topic in which a released the lease and b took it, with the leases of both and of c, which has read it.
func takenAfterARelease(is *is.I) (topic *memoryTopic, a, b, c *Lease) {
	topic = &memoryTopic{}
	a, b, c = NewLease("a", "a1", testLength, 0), NewLease("b", "b1", testLength, 0), NewLease("c", "c1", testLength, 0)
	is.NoErr(topic.read(a, 0))
	is.True(topic.claim(a, 0))
	key, value, err := a.Release()
	is.NoErr(err)
	topic.records = append(topic.records, gateway.NewRecord(key, value, 1))
	is.NoErr(topic.read(a, 0))
	is.NoErr(topic.read(b, 0))
	is.True(topic.claim(b, time.Second))
	is.NoErr(topic.read(c, time.Second))
	return topic, a, b, c
}

// Guards against two holders after a restore that lost the record of the lease.
func TestLeaseHasOneHolderAcrossARestore(t *testing.T) {
	is := is.New(t)
	topic, a, b, c := takenAfterARelease(is)
	started := NewLease("d", "d1", testLength, 0)
	copied := topic.records[:2] // The one in which a released the lease.
	for _, l := range []*Lease{a, b, c} {
		is.NoErr(restoredTo(l, copied, 1, 2*time.Second))
	}
	is.NoErr(restoredTo(started, copied, 1, 2*time.Second))
	is.True(b.Held(3 * time.Second)) // Its lease goes on.
	is.True(b.Due(3 * time.Second))
	for _, l := range []*Lease{a, c, started} {
		is.True(!l.Due(4 * time.Second)) // The lease of b may not have ended.
		is.True(l.Due(5 * time.Second))
	}
	fence := b.Fence()
	topic.records = append([]gateway.Record(nil), copied...)
	is.True(topic.claim(b, 3*time.Second))
	is.Equal(b.Fence(), fence)
	is.NoErr(topic.read(c, 3*time.Second))
	is.True(!c.Due(5 * time.Second)) // Renewed.
}

// Guards against fences that go down because the copy does not have the highest one.
func TestFenceRisesAcrossARestore(t *testing.T) {
	is := is.New(t)
	_, _, b, c := takenAfterARelease(is)
	is.NoErr(restoredTo(c, nil, 1, 2*time.Second))
	is.True(!c.Due(4500 * time.Millisecond))      // The lease may have been renewed right before.
	started := NewLease("d", "d1", testLength, 0) // It knows nothing of the time before.
	is.NoErr(restoredTo(started, nil, 1, 2*time.Second))
	var restored memoryTopic
	is.True(restored.claim(started, 6*time.Second))
	is.True(started.Fence() > b.Fence())
}

// A store that was never restored lacks no records.
func TestFirstHolderNeedsNoWait(t *testing.T) {
	is := is.New(t)
	var topic memoryTopic
	first := NewLease("a", "a1", testLength, 100*time.Millisecond)
	is.NoErr(topic.read(first, 0))
	is.True(first.Due(100 * time.Millisecond))
	key, value, err := first.Claim(100*time.Millisecond, nil, time.Unix(0, 0), 42)
	is.NoErr(err)
	is.NoErr(first.Apply([]gateway.Record{gateway.NewRecord(key, value, 0)}, 1, 100*time.Millisecond))
	is.True(first.MayFixUsage(41)) // Nobody can have reported it.
	other := NewLease("b", "b1", testLength, 100*time.Millisecond)
	is.NoErr(other.Apply(nil, 0, 0))
	is.True(!other.ObserveHolder(7, time.Second))
	is.True(!other.Due(time.Second)) // A peer holds a lease of which the topic has no record.
}

// In a first start of the whole system nothing can have been reported, whatever the number of the first era; a restore ends that.
func TestFirstStartNeedsNoWait(t *testing.T) {
	for era := range int64(3) {
		t.Run(fmt.Sprintf("era %d", era), func(t *testing.T) {
			is := is.New(t)
			l := NewLease("a", "a1", testLength, 100*time.Millisecond)
			l.BeginEra(era, 0)
			l.BeginFirstStart()
			is.NoErr(l.Apply(nil, 0, 0))
			is.True(l.Due(100 * time.Millisecond))
			l.BeginEra(era+1, time.Second)
			is.NoErr(l.Apply(nil, 0, time.Second))
			l.BeginFirstStart() // It has read the topic before.
			is.True(!l.Due(2 * time.Second))
			is.True(l.Due(time.Second + testLength + 100*time.Millisecond))
		})
	}
}

// Guards against a gateway that takes an empty topic for that of the first start, after a restore that lost the first lease (review/8).
func TestEmptyTopicOfALaterEraMayLackALease(t *testing.T) {
	for era := range int64(4) {
		t.Run(fmt.Sprintf("era %d", era), func(t *testing.T) {
			is := is.New(t)
			started := NewLease("a", "a2", testLength, 100*time.Millisecond)
			started.BeginEra(era, 0)
			is.NoErr(started.Apply(nil, 0, 0))
			is.Equal(started.Due(100*time.Millisecond), era == 0)
			is.Equal(started.Due(testLength+99*time.Millisecond), era == 0)
			is.True(started.Due(testLength + 100*time.Millisecond))
			at := testLength + 100*time.Millisecond
			key, value, err := started.Claim(at, nil, time.Unix(0, 0), 42)
			is.NoErr(err)
			is.NoErr(started.Apply([]gateway.Record{gateway.NewRecord(key, value, 0)}, 1, at))
			is.Equal(started.MayFixUsage(41), era == 0) // It may have been reported.
			is.True(started.MayFixUsage(42))
		})
	}
}

// Guards against usage that is reported with two counts because the copy lacks the record of the first.
func TestUsageOfWindowsBeforeARestore(t *testing.T) {
	is := is.New(t)
	topic, _, b, c := takenAfterARelease(is)
	key, value, err := b.FixUsage(40, map[string]int64{"engravers": 7})
	is.NoErr(err)
	is.NoErr(b.Apply([]gateway.Record{gateway.NewRecord(key, value, 3)}, 4, 2*time.Second))
	copied := topic.records[:2]
	is.NoErr(restoredTo(b, copied, 1, 2*time.Second))
	is.Equal(b.UnrecordedUsage(), []int64{40}) // The holder writes it again.
	is.True(b.MayFixUsage(40))

	is.NoErr(restoredTo(c, copied, 1, 2*time.Second)) // The holder ends before it could.
	restored := memoryTopic{records: append([]gateway.Record(nil), copied...)}
	key, value, err = c.Claim(6*time.Second, nil, time.Unix(0, 0), 42)
	is.NoErr(err)
	restored.records = append(restored.records, gateway.NewRecord(key, value, 2))
	_, err = c.ClaimAppended(value, 2, 6*time.Second)
	is.NoErr(err)
	next := NewLease("d", "d1", testLength, 0)
	is.NoErr(restoredTo(next, restored.records, 1, 7*time.Second))
	is.True(restored.claim(next, 12*time.Second))
	for _, l := range []*Lease{c, next} {
		is.True(!l.MayFixUsage(41)) // It may have been reported.
		is.True(l.MayFixUsage(42))
	}
}
