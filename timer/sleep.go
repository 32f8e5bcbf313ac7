package timer

import (
	"context"
	"time"
)

// Sleep waits for the duration and returns true, or returns false as soon as the context ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
