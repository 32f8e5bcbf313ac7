package timer

import (
	"context"
	"time"
)

// Sleep waits and reports whether the whole time has passed; false means that the context ended before.
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
