package fleet

import (
	"context"
	"time"
)

// Pause waits until d has passed or ctx is done.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
