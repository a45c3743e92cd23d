package roles

import (
	"runtime/metrics"
	"syscall"
	"time"
)

// processCost is what the process spends, for comparison with the budget of a
// node: 2.8% of a core, 64 MB and 2 KB/s of control traffic.
type processCost struct {
	UptimeSeconds float64 `json:"uptime_seconds"`
	CPUSeconds    float64 `json:"cpu_seconds"`
	CPUShare      float64 `json:"cpu_share"` // of one core, since the start
	MemoryBytes   uint64  `json:"memory_bytes"`
}

const memoryMetric = "/memory/classes/total:bytes"

// costSince returns a function that reads the cost of the process.
func costSince(started time.Time) func() any {
	return func() any {
		var usage syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
			return nil
		}
		sample := []metrics.Sample{{Name: memoryMetric}}
		metrics.Read(sample)
		uptime := time.Since(started).Seconds()
		cpu := seconds(usage.Utime) + seconds(usage.Stime)
		return processCost{UptimeSeconds: uptime, CPUSeconds: cpu, CPUShare: cpu / max(uptime, 1), MemoryBytes: sample[0].Value.Uint64()}
	}
}

func seconds(t syscall.Timeval) float64 { return time.Duration(t.Nano()).Seconds() }
