package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/fleet"
	"dandelionrail.org/rail/instance"
	"dandelionrail.org/rail/outside"
	"dandelionrail.org/rail/timer"
)

const (
	// callTimeout bounds a call to the platform or an upstream's control interface.
	callTimeout = 2 * time.Second
	// platformRetryDelay is the time between calls while the platform is unavailable.
	platformRetryDelay = 250 * time.Millisecond
	// smallListSize is the largest number of instances for which the list is read at each interval.
	smallListSize = 20
	// bytesPerInstance is the size of one instance in the list.
	bytesPerInstance = 250
	// listBytesPerSecond is the rate at which a large list is read.
	listBytesPerSecond = 1000
	// registerInterval is the time between registrations; the list drops an instance after 5 s without one.
	registerInterval = 2 * time.Second
	// noticeInterval is the time between reads of the reclaim notices in a small fleet.
	noticeInterval = 250 * time.Millisecond
	// maxNoticeInterval is the longest interval, in a large fleet; a notice precedes the reclaim by 5 s or more.
	maxNoticeInterval = time.Second
	// offersInterval is the time between reads of the cloud's prices.
	offersInterval = 10 * time.Second
	// smallFleetEntries is the number of entries that noticeInterval is for; the interval grows in proportion beyond it.
	smallFleetEntries = 9
)

// poster queues events and blocks while the queue is full.
type poster interface {
	PostWait(ctx context.Context, e rail.Event) error
}

// readLog posts all records of the log to the reducer, in order.
func readLog(ctx context.Context, p poster, log rail.Log, wait time.Duration) {
	var next rail.Offset
	for ctx.Err() == nil {
		read, err := readLogOnce(ctx, log, next, wait)
		if err != nil {
			_ = p.PostWait(ctx, rail.NewLogUnavailable(err))
			timer.Sleep(ctx, platformRetryDelay)
			continue
		}
		next = read.Next()
		if p.PostWait(ctx, read) != nil {
			return
		}
	}
}

func readLogOnce(ctx context.Context, log rail.Log, from rail.Offset, wait time.Duration) (rail.LogRead, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	return log.Read(ctx, from, wait)
}

// readList posts each snapshot of the instance list to the reducer; requests ask for an early read.
func readList(ctx context.Context, p poster, list rail.InstanceList, environment string, interval time.Duration, requests <-chan struct{}) {
	var size int
	for ctx.Err() == nil {
		instances, err := readListOnce(ctx, list)
		if err == nil { // After a failed read the last snapshot stays in use; readLog reports the outage.
			size = len(instances)
			_ = p.PostWait(ctx, rail.NewListRead(outside.FilterEnvironment(environment, instances)))
		}
		timer.Sleep(ctx, interval)
		pauseOrWake(ctx, listPause(interval, size)-interval, requests)
	}
}

func readListOnce(ctx context.Context, list rail.InstanceList) ([]rail.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return list.Instances(ctx)
}

// listPause returns the time until the next read of a list of the size. For a
// large list it grows so that reading costs a fixed rate of bytes. It is
// randomised so that the entries read at different times, since they report
// new instances to each other.
func listPause(interval time.Duration, size int) time.Duration {
	if size <= smallListSize {
		return interval
	}
	bytes := float64((size - smallListSize) * bytesPerInstance)
	pause := interval + time.Duration(bytes/listBytesPerSecond*float64(time.Second))
	return pause/2 + rand.N(pause)
}

// readNotices posts each instance that the cloud is about to reclaim; for this entry's own instance it calls leave.
func readNotices(ctx context.Context, p poster, cloud rail.Cloud, me rail.InstanceID, entries func() int, leave func(deadline time.Time)) {
	seen := map[rail.InstanceID]time.Time{}
	for ctx.Err() == nil {
		notices := readNoticesOnce(ctx, cloud)
		if len(notices) > 0 {
			_ = p.PostWait(ctx, fleet.NewNoticesRead(notices))
		}
		for _, n := range notices {
			if seen[n.Instance()].Equal(n.At()) {
				continue
			}
			seen[n.Instance()] = n.At()
			if n.Instance() == me {
				leave(n.At())
				continue
			}
			_ = p.PostWait(ctx, rail.NewInstanceLeaving(n.Instance(), instance.SourceNotice))
		}
		timer.Sleep(ctx, noticePause(entries()))
	}
}

// readNoticesOnce returns the current reclaim notices, none if the call fails.
func readNoticesOnce(ctx context.Context, cloud rail.Cloud) []rail.Notice {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	notices, err := cloud.Notices(ctx)
	if err != nil {
		return nil
	}
	return notices
}

// noticePause returns the time between reads of the notices. It grows with the
// number of entries, because they also report notices to each other.
func noticePause(entries int) time.Duration {
	return min(noticeInterval*time.Duration(max(1, entries/smallFleetEntries)), maxNoticeInterval)
}

// readOffers posts the cloud's offers, which state the prices, to the reducer.
func readOffers(ctx context.Context, p poster, cloud rail.Cloud) {
	every(ctx, offersInterval, func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if offers, err := cloud.Offers(ctx); err == nil {
			_ = p.PostWait(ctx, fleet.NewOffersRead(offers))
		}
	})
}

// every calls f immediately and then with the interval between calls, until the context ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	for ctx.Err() == nil {
		f()
		timer.Sleep(ctx, interval)
	}
}

// pauseOrWake waits for the duration, or until wake receives a value or the context ends.
func pauseOrWake(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-wake:
	case <-ctx.Done():
	}
}
