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
	// awayPause is the time between calls to a platform that does not answer.
	awayPause = 250 * time.Millisecond
	// smallList is the number of instances up to which a list is read at each interval.
	smallList = 20
	// listedBytes is the size of an instance in the list.
	listedBytes = 250
	// listBytesPerSecond is the rate of reading a large list.
	listBytesPerSecond = 1000
	// registerInterval is the time between registrations; the list drops an instance after 5 s without one.
	registerInterval = 2 * time.Second
	// noticeInterval is the time between reads of the reclaim notices in a small fleet.
	noticeInterval = 250 * time.Millisecond
	// maxNoticeInterval is the same in a large one; a notice is for 5 s or more.
	maxNoticeInterval = time.Second
	// offersInterval is the time between reads of the cloud's prices.
	offersInterval = 10 * time.Second
	// smallFleet is the number of entries up to which each reads the notices at the short interval.
	smallFleet = 9
)

// poster queues events and waits for room.
type poster interface {
	PostWait(ctx context.Context, e rail.Event) error
}

// readLog hands all records of the log to the reducer, in order.
func readLog(ctx context.Context, p poster, log rail.Log, wait time.Duration) {
	var next rail.Offset
	for ctx.Err() == nil {
		read, err := readOnce(ctx, log, next, wait)
		if err != nil {
			_ = p.PostWait(ctx, rail.NewLogUnavailable(err))
			timer.Sleep(ctx, awayPause)
			continue
		}
		next = read.Next()
		if p.PostWait(ctx, read) != nil {
			return
		}
	}
}

func readOnce(ctx context.Context, log rail.Log, from rail.Offset, wait time.Duration) (rail.LogRead, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	return log.Read(ctx, from, wait)
}

// readList hands each snapshot of the instance list to the reducer.
func readList(ctx context.Context, p poster, list rail.InstanceList, environment string, interval time.Duration, wanted <-chan struct{}) {
	var size int
	for ctx.Err() == nil {
		instances, err := listOnce(ctx, list)
		if err == nil { // Without one the last snapshot stands; the log's reader reports the outage.
			size = len(instances)
			_ = p.PostWait(ctx, rail.NewListRead(outside.EntriesOf(environment, instances)))
		}
		timer.Sleep(ctx, interval)
		pauseUnless(ctx, listPause(interval, size)-interval, wanted)
	}
}

func listOnce(ctx context.Context, list rail.InstanceList) ([]rail.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return list.Instances(ctx)
}

// listPause returns the time until the next read of a list of the size. Beyond
// a small list it grows so that reading costs a fixed rate of bytes; a random
// part keeps the entries from reading at the same time, since they tell each
// other what is new.
func listPause(interval time.Duration, size int) time.Duration {
	if size <= smallList {
		return interval
	}
	bytes := float64((size - smallList) * listedBytes)
	wanted := interval + time.Duration(bytes/listBytesPerSecond*float64(time.Second))
	return wanted/2 + rand.N(wanted)
}

// readNotices tells the reducer of each instance that the cloud is about to take.
func readNotices(ctx context.Context, p poster, cloud rail.Cloud, me rail.InstanceID, entries func() int, leave func(deadline time.Time)) {
	seen := map[rail.InstanceID]time.Time{}
	for ctx.Err() == nil {
		notices := noticesOnce(ctx, cloud)
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

// noticesOnce returns the notices in force, none if the cloud does not answer.
func noticesOnce(ctx context.Context, cloud rail.Cloud) []rail.Notice {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	notices, err := cloud.Notices(ctx)
	if err != nil {
		return nil
	}
	return notices
}

// noticePause returns the time between reads of the notices, which entries tell each other.
func noticePause(entries int) time.Duration {
	return min(noticeInterval*time.Duration(max(1, entries/smallFleet)), maxNoticeInterval)
}

// readOffers tells the reducer of the cloud's prices.
func readOffers(ctx context.Context, p poster, cloud rail.Cloud) {
	every(ctx, offersInterval, func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if offers, err := cloud.Offers(ctx); err == nil {
			_ = p.PostWait(ctx, fleet.NewOffersRead(offers))
		}
	})
}

// every calls f at once and then with the interval between calls, until the context ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	for ctx.Err() == nil {
		f()
		timer.Sleep(ctx, interval)
	}
}

// pauseUnless waits for the time, or until something is wanted before.
func pauseUnless(ctx context.Context, d time.Duration, wanted <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-wanted:
	case <-ctx.Done():
	}
}
