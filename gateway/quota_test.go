package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// admitAll sends a request of the cost to each gateway every 10 ms, and adds
// what was admitted at each time to the map. Gateways exchange digests every
// 400 ms.
func admitAll(gateways []*quota, from, to time.Duration, cost float64, b bound, admitted map[time.Duration]float64) {
	const step, exchange = 10 * time.Millisecond, 400 * time.Millisecond
	for at := from; at < to; at += step {
		for _, q := range gateways {
			q.advance(at, b)
			if ok, _ := q.take(cost, 1/float64(len(gateways))); ok {
				admitted[at] += cost
			}
		}
		if at%exchange == 0 {
			for i, q := range gateways {
				var others buckets
				for j, o := range gateways {
					if i != j {
						others.add(o.ownBuckets())
					}
				}
				q.setOthers(others, at)
			}
		}
	}
}

// maxInWindow returns the largest sum within any window.
func maxInWindow(admitted map[time.Duration]float64, to time.Duration) float64 {
	maxSum := 0.0
	for start := time.Duration(0); start < to; start += 50 * time.Millisecond {
		sum := 0.0
		for at, n := range admitted {
			if at >= start && at < start+quotaWindow {
				sum += n
			}
		}
		maxSum = max(maxSum, sum)
	}
	return maxSum
}

// A team's limit of 100,000 tokens a second with a burst of the same size, the slack of the users' deployments, and the total that these allow.
const (
	testRate         = 100_000.0
	testSlackTokens  = 140_000.0
	quotaWindow      = 8 * time.Second
	testWindowTokens = 9 * testRate
	testAllowed      = testWindowTokens*1.1 + testSlackTokens
)

var (
	testSlack = NewSlack(quotaWindow, 0.1, testSlackTokens)
	testBound = newBound(testRate, testRate, testSlack, meshPacing)
)

func newGateways() []*quota {
	qs := make([]*quota, 6)
	for i := range qs {
		qs[i] = newQuota(0, testBound, false)
	}
	return qs
}

func TestHotTeamStaysWithinItsLimit(t *testing.T) {
	is := is.New(t)
	admitted := map[time.Duration]float64{}
	gateways := newGateways()
	admitAll(gateways, 0, 30*time.Second, 4000, testBound, admitted) // 2.4 million tokens a second are requested.
	peak := maxInWindow(admitted, 30*time.Second)
	is.True(peak <= testAllowed)
	is.True(peak >= testWindowTokens) // The limit is used.
}

func TestBaselineLoadIsAdmittedAfterStart(t *testing.T) {
	baseline := int64(55_000) // The limit is 1.8 times the baseline.
	for _, c := range []struct {
		name  string
		quota *quota
	}{
		{"first start of the system", newQuota(0, testBound, true)},
		{"restart with the record of the store", func() *quota {
			q := newQuota(0, testBound, false)
			q.restore([]int64{baseline, baseline, baseline, baseline, baseline, baseline, baseline, baseline}, time.Second)
			return q
		}()},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			refused := 0
			for at := time.Duration(0); at < 20*time.Second; at += 50 * time.Millisecond {
				c.quota.advance(at, testBound)
				if ok, _ := c.quota.take(testRate/1.8*0.05, 1.0/6); !ok {
					refused++
				}
			}
			is.Equal(refused, 0)
		})
	}
}

// TestNothingIsAdmittedBeforeRestore guards against exceeding the limit after a
// restart: six gateways that each admit a share before they know the usage of
// the last seconds exceed it together.
func TestNothingIsAdmittedBeforeRestore(t *testing.T) {
	is := is.New(t)
	for _, q := range newGateways() {
		ok, _ := q.take(1000, 1.0/6)
		is.True(!ok)
	}
}

func TestLimitHoldsAcrossARestartOfAllGateways(t *testing.T) {
	for _, quiet := range []time.Duration{0, 4 * time.Second, 6 * time.Second, 7 * time.Second} {
		is := is.New(t)
		admitted := map[time.Duration]float64{}
		const killed = 20 * time.Second
		gateways := newGateways()
		admitAll(gateways, quiet+killed-10*time.Second, killed, 4000, testBound, admitted)
		// The record is up to a second older than the kill, and lacks what peers had not reported.
		record := map[time.Duration]float64{}
		before := newGateways()
		admitAll(before, quiet+killed-10*time.Second, killed-time.Second, 4000, testBound, record)
		stored := before[0].snapshot()
		fresh := newGateways()
		for _, q := range fresh {
			q.restore(stored, 2*time.Second)
		}
		since := map[time.Duration]float64{}
		admitAll(fresh, 0, 12*time.Second, 4000, testBound, since)
		for at, n := range since {
			admitted[killed+time.Second+at] += n
		}
		peak := maxInWindow(admitted, killed+13*time.Second)
		t.Logf("full load for %v before the kill: %.2f of what is allowed", 10*time.Second-quiet, peak/testAllowed)
		is.True(peak <= testAllowed)
	}
}

func TestRepeatedRestartsDoNotAddUp(t *testing.T) {
	is := is.New(t)
	q, at := newQuota(0, testBound, true), time.Duration(0)
	for range 5 { // In a rolling restart each lease holder starts from the previous one's record.
		for end := at + 2*time.Second; at < end; at += 50 * time.Millisecond {
			q.advance(at, testBound)
			ok, _ := q.take(testRate/1.8*0.05, 1)
			is.True(ok)
		}
		stored := q.snapshot()
		at, q = 0, newQuota(0, testBound, false)
		q.restore(stored, 0)
	}
	for end := at + quotaWindow; at < end; at += 50 * time.Millisecond { // The baseline load continues.
		q.advance(at, testBound)
		ok, _ := q.take(testRate/1.8*0.05, 1)
		is.True(ok)
	}
}

func TestTeamAddedLongAfterStart(t *testing.T) {
	is := is.New(t)
	q := newQuota(10*time.Second, testBound, false)
	is.Equal(q.total, 0.0) // The gateway has been up for the whole window.
}

// TestRestoreOfOldRecord guards against a restore that underestimates the usage:
// nothing is recorded until the lease of a failed holder expires, and gateways
// may stop more than once in that time.
func TestRestoreOfOldRecord(t *testing.T) {
	is := is.New(t)
	q := newQuota(0, testBound, false)
	q.restore(make([]int64, quotaBuckets), 6*time.Second)
	is.True(q.total >= 0.75*testBound.limit) // At least six of eight seconds at the limit's rate.
}
