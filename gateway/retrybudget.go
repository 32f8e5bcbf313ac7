package gateway

import "time"

// retryBudget limits the retries of requests to one service, so that failures
// do not multiply the load. Each gateway enforces its share without
// coordinating with its peers.
type retryBudget struct {
	seconds       [retryBudgetSeconds]struct{ first, extra int }
	currentSecond int64
}

// retryBudgetSeconds is the length of the sliding window of the budget.
const retryBudgetSeconds = 10

// retryBudgetShare is the fraction of the allowed retries that is used; the rest covers windows that begin at other times.
const retryBudgetShare = 0.8

func (b *retryBudget) advance(uptime time.Duration) int {
	second := int64(uptime / time.Second)
	for b.currentSecond < second {
		if second-b.currentSecond > retryBudgetSeconds {
			b.currentSecond = second - retryBudgetSeconds
		}
		b.currentSecond++
		b.seconds[b.currentSecond%retryBudgetSeconds] = struct{ first, extra int }{}
	}
	return int(b.currentSecond % retryBudgetSeconds)
}

// countFirst counts the first attempt of a request.
func (b *retryBudget) countFirst(uptime time.Duration) {
	b.seconds[b.advance(uptime)].first++
}

// spend counts a retry if the budget allows it, and reports whether it does.
func (b *retryBudget) spend(uptime time.Duration, ratio, extra float64) bool {
	i := b.advance(uptime)
	first, spent := 0, 0
	for _, s := range b.seconds {
		first += s.first
		spent += s.extra
	}
	if float64(spent+1) > retryBudgetShare*(ratio*float64(first)+extra) {
		return false
	}
	b.seconds[i].extra++
	return true
}
