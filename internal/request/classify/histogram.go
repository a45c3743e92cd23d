package classify

import (
	"math"
	"time"
)

const (
	// bucketsPerDoubling is the number of buckets per factor of 2: a bucket spans a
	// factor of 2^(1/4).
	bucketsPerDoubling = 4
	// firstBucketBound is the upper bound of the first bucket.
	firstBucketBound = time.Millisecond
	// numBuckets is the number of buckets. They cover 1 ms to 2^23 ms (2.3 h); longer
	// times count in the last one.
	numBuckets = 23*bucketsPerDoubling + 1
	// maxSampleWeight is the weight of a new sample above which all weights are
	// scaled down. It is far below overflow.
	maxSampleWeight = 1e9
)

// histogram counts run times in logarithmic buckets. Instead of reducing all
// weights with each sample, it increases the weight of the next sample: quantiles
// depend only on the ratios of the weights.
type histogram struct {
	weights    [numBuckets]float32
	nextWeight float64 // weight of the next sample; 0 in an empty histogram
	total      float64 // sum of weights
}

func (h *histogram) add(d time.Duration, decay float64) {
	if h.nextWeight == 0 {
		h.nextWeight = 1
	}
	h.weights[bucketOf(d)] += float32(h.nextWeight)
	h.total += h.nextWeight
	h.nextWeight /= decay
	if h.nextWeight > maxSampleWeight {
		h.rescale()
	}
}

// weight returns the sum of the weights, relative to that of the next sample.
func (h *histogram) weight() float64 {
	if h.nextWeight == 0 {
		return 0
	}
	return h.total / h.nextWeight
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

// rescale divides all weights by that of the next sample.
func (h *histogram) rescale() {
	h.total = 0
	for i := range h.weights {
		h.weights[i] /= float32(h.nextWeight)
		h.total += float64(h.weights[i])
	}
	h.nextWeight = 1
}

// bucketOf returns the bucket of a run time.
func bucketOf(d time.Duration) int {
	if d <= firstBucketBound {
		return 0
	}
	i := int(math.Ceil(math.Log2(float64(d)/float64(firstBucketBound)) * bucketsPerDoubling))
	return min(i, numBuckets-1)
}

// boundOf returns the upper bound of a bucket.
func boundOf(bucket int) time.Duration {
	return time.Duration(float64(firstBucketBound) * math.Exp2(float64(bucket)/bucketsPerDoubling))
}
