package bench

import (
	"context"
	"encoding/binary"
	"flag"
	"io"
	"math"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalock.example/vanillalock/internal/api"
	"vanillalock.example/vanillalock/internal/rescode"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

// Guards against a wrong least-squares line. The reference solves the normal
// equations, which are exact for small integers.
func TestLeastSquares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var points []Sample
		for range rapid.IntRange(2, 8).Draw(t, "points") {
			points = append(points, Sample{X: float64(rapid.IntRange(0, 50).Draw(t, "x")), Y: float64(rapid.IntRange(-50, 50).Draw(t, "y"))})
		}
		n, sx, sy, sxx, sxy := float64(len(points)), 0.0, 0.0, 0.0, 0.0
		for _, p := range points {
			sx, sy, sxx, sxy = sx+p.X, sy+p.Y, sxx+p.X*p.X, sxy+p.X*p.Y
		}
		wantSlope, wantIntercept := 0.0, sy/n
		if d := n*sxx - sx*sx; d != 0 {
			wantSlope = (n*sxy - sx*sy) / d
			wantIntercept = (sy - wantSlope*sx) / n
		}
		slope, intercept := leastSquares(points)
		require.InDelta(t, wantSlope, slope, 1e-9*(1+math.Abs(wantSlope)))
		require.InDelta(t, wantIntercept, intercept, 1e-9*(1+math.Abs(wantIntercept)))
	})
}

// Guards against frames that are missed or counted twice when reads split them.
func TestFrameParser(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream []byte
		var want [muxTypes]int64
		for range rapid.IntRange(0, 20).Draw(t, "frames") {
			kind := rapid.IntRange(0, muxTypes-1).Draw(t, "kind")
			header := make([]byte, muxHeaderBytes)
			header[1] = byte(kind)
			// The length field of a frame without data is a window or an opaque value.
			length := rapid.IntRange(0, 40).Draw(t, "length")
			binary.BigEndian.PutUint32(header[8:], uint32(length))
			stream = append(stream, header...)
			if kind == muxData {
				stream = append(stream, make([]byte, length)...)
			}
			want[kind]++
		}
		counts := &frameCounts{}
		parser := frameParser{counts: counts}
		for rest := stream; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			parser.parse(rest[:n])
			rest = rest[n:]
		}
		for kind := range want {
			require.Equal(t, want[kind], counts.frames[kind].Load(), "kind "+strconv.Itoa(kind))
		}
		require.Equal(t, int64(len(stream)), counts.bytes.Load())
	})
}

// Guards against store calls of claims or edits that are not counted.
func TestRigCountsStoreCalls(t *testing.T) {
	r, err := startRig(t.Context(), 2, 2, nil)
	require.NoError(t, err)
	defer r.stop()
	before := r.store.snapshot()
	send := func(id, template string) {
		answer, err := r.entries[1].SubmitRequest(t.Context(), api.RequestInput{ID: id, IdempotencyKey: id, Template: template, Customer: customerName})
		require.NoError(t, err)
		require.Equal(t, rescode.OK, answer.Code, answer.Detail)
	}
	send("r1", idempotentRequest)
	require.Equal(t, before.Writes, r.store.snapshot().Writes, "an idempotent request wrote to the store")
	send("r2", chargeRequest)
	afterClaim := r.store.snapshot()
	require.Greater(t, afterClaim.Writes, before.Writes)
	_, err = r.edit(t.Context(), 0)
	require.NoError(t, err)
	require.Equal(t, afterClaim.Writes+1, r.store.snapshot().Writes)
}

// Guards against cases or samples that are missing in the result file.
func TestRunWritesResult(t *testing.T) {
	file := filepath.Join(t.TempDir(), "result.json")
	o := Options{Case: []string{"placement"}, JSON: file}
	require.NoError(t, Run(context.Background(), o, io.Discard, io.Discard))
	r, err := Load(file)
	require.NoError(t, err)
	s, err := r.Find("placement.allocs")
	require.NoError(t, err)
	require.Len(t, s.Samples, 3*repeats)
	require.Error(t, Run(context.Background(), Options{Case: []string{"none"}}, io.Discard, io.Discard))
}
