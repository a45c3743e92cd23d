package obs

import (
	"fmt"
	"io"
	"sync"
)

// maxPendingLog is the maximum size of the buffered log lines in bytes. It holds
// several seconds of the log of a busy leader.
const maxPendingLog = 512 << 10

// AsyncWriter writes lines in the background, so that a slow or stopped reader of
// the log never blocks the process. Lines that exceed the buffer are dropped; their
// number is logged once the buffer has space again.
type AsyncWriter struct {
	w       io.Writer
	mu      sync.Mutex
	pending []byte
	dropped int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// NewAsyncWriter returns a writer to w and starts its goroutine.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{w: w, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. It never blocks on the underlying writer.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	if len(a.pending)+len(line) > maxPendingLog || a.closed {
		a.dropped++
	} else {
		a.pending = append(a.pending, line...)
	}
	a.mu.Unlock()
	a.signal()
	return len(line), nil
}

// signal wakes the writing goroutine.
func (a *AsyncWriter) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// take returns the pending lines and whether the writer has been closed. The buffer
// of spare is reused for further lines.
func (a *AsyncWriter) take(spare []byte) ([]byte, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := a.pending
	if a.dropped > 0 && len(out) < maxPendingLog {
		out = fmt.Appendf(out, "{\"level\":\"warn\",\"msg\":\"Log lines dropped.\",\"lines\":%d}\n", a.dropped)
		a.dropped = 0
	}
	a.pending = spare[:0]
	return out, a.closed
}

// run writes pending lines until the writer is closed.
func (a *AsyncWriter) run() {
	defer close(a.done)
	var spare []byte
	for range a.wake {
		for {
			lines, closed := a.take(spare)
			spare = lines // the two buffers alternate
			if len(lines) == 0 {
				if closed {
					return
				}
				break
			}
			// The log is the only place for errors, so a failed write cannot be reported.
			_, _ = a.w.Write(lines)
		}
	}
}

// Close writes the pending lines and stops the goroutine. Lines written later are
// dropped.
func (a *AsyncWriter) Close() error {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.signal()
	<-a.done
	return nil
}
