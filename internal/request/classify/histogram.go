package classify

import (
	"math"
	"time"
)

const (
	// bucketsPerDoubling sets the resolution: a bucket spans a factor of 2^(1/4).
	bucketsPerDoubling = 4
	// firstBound is the upper bound of the first bucket.
	firstBound = time.Millisecond
	// buckets covers 1 ms to 2^23 ms (2.3 h); longer times count in the last one.
	buckets = 23*bucketsPerDoubling + 1
	// rescaleAt bounds the weight of a new sample, far below overflow.
	rescaleAt = 1e9
)

// histogram counts run times in logarithmic buckets. Instead of decaying all
// weights with each sample, the weight of new samples grows; quantiles depend
// only on the ratios.
type histogram struct {
	weights [buckets]float32
	next    float64 // weight of the next sample; 0 in an empty histogram
	total   float64
}

func (h *histogram) add(d time.Duration, decay float64) {
	if h.next == 0 {
		h.next = 1
	}
	h.weights[bucketOf(d)] += float32(h.next)
	h.total += h.next
	h.next /= decay
	if h.next > rescaleAt {
		h.rescale()
	}
}

// weight returns the sum of the decayed weights; the next sample counts 1.
func (h *histogram) weight() float64 {
	if h.next == 0 {
		return 0
	}
	return h.total / h.next
}

// quantile returns the upper bound of the bucket that holds the quantile.
func (h *histogram) quantile(q float64) time.Duration {
	rank, sum := q*h.total, 0.0
	last := 0
	for i, w := range h.weights {
		if w == 0 {
			continue
		}
		last = i
		if sum += float64(w); sum >= rank {
			break
		}
	}
	return boundOf(last)
}

func (h *histogram) rescale() {
	h.total = 0
	for i := range h.weights {
		h.weights[i] /= float32(h.next)
		h.total += float64(h.weights[i])
	}
	h.next = 1
}

func bucketOf(d time.Duration) int {
	if d <= firstBound {
		return 0
	}
	i := int(math.Ceil(math.Log2(float64(d)/float64(firstBound)) * bucketsPerDoubling))
	return min(i, buckets-1)
}

func boundOf(bucket int) time.Duration {
	return time.Duration(float64(firstBound) * math.Exp2(float64(bucket)/bucketsPerDoubling))
}
