package roles

import (
	"runtime/metrics"
	"syscall"
	"time"
)

// processUsage is the resource usage of the process. The budget of a node is 2.8% of
// a core, 64 MB of memory and 2 KB/s of control traffic.
type processUsage struct {
	UptimeSeconds float64 `json:"uptime_seconds"`
	CPUSeconds    float64 `json:"cpu_seconds"`
	CPUShare      float64 `json:"cpu_share"` // share of one core, averaged since the start
	MemoryBytes   uint64  `json:"memory_bytes"`
}

// memoryMetric is the memory that the Go runtime has mapped.
const memoryMetric = "/memory/classes/total:bytes"

// usageSince returns a function that returns the processUsage of the process, which
// started at started, or nil if it cannot be read.
func usageSince(started time.Time) func() any {
	return func() any {
		var usage syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
			return nil
		}
		sample := []metrics.Sample{{Name: memoryMetric}}
		metrics.Read(sample)
		uptime := time.Since(started).Seconds()
		cpu := seconds(usage.Utime) + seconds(usage.Stime)
		return processUsage{UptimeSeconds: uptime, CPUSeconds: cpu, CPUShare: cpu / max(uptime, 1), MemoryBytes: sample[0].Value.Uint64()}
	}
}

func seconds(t syscall.Timeval) float64 { return time.Duration(t.Nano()).Seconds() }
