package obs

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedWriter blocks until it is released.
type blockedWriter struct {
	mu      sync.Mutex
	out     bytes.Buffer
	release chan struct{}
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

// Guards against a process that blocks because nobody reads its log, and against
// dropped lines that are not reported.
func TestLogNeverBlocks(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	a := NewAsyncWriter(w)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 4 * maxPendingLog / 1024
	for range lines {
		n, err := a.Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	close(w.release)
	require.NoError(t, a.Close())
	out := w.out.String()
	kept := strings.Count(out, "x\n")
	require.Contains(t, out, fmt.Sprintf("\"lines\":%d", lines-kept))
	require.Less(t, kept, lines)
}

// Guards against lines that are lost or reordered when the writer is closed.
func TestLogIsWholeAfterClose(t *testing.T) {
	var out bytes.Buffer
	a := NewAsyncWriter(&out)
	var want strings.Builder
	for i := range 1000 {
		line := fmt.Sprintf("line %d\n", i)
		want.WriteString(line)
		_, _ = a.Write([]byte(line))
	}
	require.NoError(t, a.Close())
	require.Equal(t, want.String(), out.String())
}
