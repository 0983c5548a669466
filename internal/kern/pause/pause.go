package pause

import (
	"context"
	"time"
)

// For sleeps for the duration wait; it returns false if ctx ends first.
func For(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
