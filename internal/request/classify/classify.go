// Package classify learns the size class of requests from measured run times.
//
// For each pair of template and customer, and for each template, it keeps a
// histogram of run times whose weights decay with each new sample. The class is
// taken from a high quantile, so that work classified as short seldom runs
// longer. A pair with few samples falls back to its template, and a template
// with few samples to the declared time. Memory is bounded: the least recently
// used histogram is evicted. A Classifier is not safe for concurrent use.
package classify

import (
	"container/list"
	"time"

	"vanillalock.example/vanillalock/internal/structs"
)

// Config holds the parameters of a Classifier.
type Config struct {
	// ShortMax and MediumMax are the longest run times of the classes.
	ShortMax, MediumMax time.Duration
	// Quantile of the run time that decides the class.
	Quantile float64
	// Decay is the factor by which each new sample reduces the weights of the
	// earlier ones. At 0.98 about the last 50 samples count.
	Decay float64
	// MinWeight is the total weight below which a histogram is not used.
	MinWeight float64
	// MaxKeys bounds the number of histograms.
	MaxKeys int
}

// DefaultConfig returns the parameters used by the entry.
func DefaultConfig() Config {
	return Config{
		ShortMax:  200 * time.Millisecond,
		MediumMax: 2 * time.Second,
		Quantile:  0.9,
		Decay:     0.98,
		MinWeight: 5,
		MaxKeys:   8192,
	}
}

// Source tells which data an Estimate is based on.
type Source uint8

// Sources of an Estimate, most specific first.
const (
	FromPair Source = iota
	FromTemplate
	FromDeclared
	FromDefault
)

// Estimate is the expected size of a request.
type Estimate struct {
	Class structs.SizeClass
	// Expected is the median run time, High the quantile that decides the class.
	Expected, High time.Duration
	Source         Source
}

// key names a histogram. An empty customer stands for the histogram of the
// template over all customers.
type key struct{ template, customer string }

// cachedHistogram is a histogram in the list of recently used ones.
type cachedHistogram struct {
	key  key
	hist histogram
}

// Classifier holds the histograms of run times. Create it with New.
type Classifier struct {
	cfg        Config
	histograms map[key]*list.Element
	lru        *list.List // of *cachedHistogram, most recently used first
}

// New returns a Classifier without samples.
func New(cfg Config) *Classifier {
	return &Classifier{cfg: cfg, histograms: make(map[key]*list.Element), lru: list.New()}
}

// Observe records the run time of a finished request. The caller leaves out the
// time in queues and requests that failed early.
func (c *Classifier) Observe(template, customer string, run time.Duration) {
	c.histogramFor(key{template, ""}).add(run, c.cfg.Decay)
	if customer != "" {
		c.histogramFor(key{template, customer}).add(run, c.cfg.Decay)
	}
}

// Estimate returns the expected size of a request. The declared time is 0 if
// there is none. Without any data the class is medium, because an unknown request
// must not take a slot that is reserved for short work.
func (c *Classifier) Estimate(template, customer string, declared time.Duration) Estimate {
	if e, ok := c.estimateFrom(key{template, customer}, FromPair); ok && customer != "" {
		return e
	}
	if e, ok := c.estimateFrom(key{template, ""}, FromTemplate); ok {
		return e
	}
	if declared > 0 {
		return Estimate{Class: c.ClassOf(declared), Expected: declared, High: declared, Source: FromDeclared}
	}
	return Estimate{Class: structs.SizeMedium, Expected: c.cfg.ShortMax, High: c.cfg.MediumMax, Source: FromDefault}
}

// ClassOf returns the class of a run time.
func (c *Classifier) ClassOf(run time.Duration) structs.SizeClass {
	switch {
	case run <= c.cfg.ShortMax:
		return structs.SizeShort
	case run <= c.cfg.MediumMax:
		return structs.SizeMedium
	default:
		return structs.SizeLong
	}
}

// Outlasted returns the class of a running request of the given class that has run
// for the given time so far, and the run time at which to call it again (0:
// never). The class never becomes shorter.
func (c *Classifier) Outlasted(class structs.SizeClass, run time.Duration) (structs.SizeClass, time.Duration) {
	class = max(class, c.ClassOf(run))
	switch class {
	case structs.SizeShort:
		return class, c.cfg.ShortMax + 1
	case structs.SizeMedium:
		return class, c.cfg.MediumMax + 1
	default:
		return class, 0
	}
}

// Len returns the number of histograms.
func (c *Classifier) Len() int { return c.lru.Len() }

// estimateFrom returns the estimate from the histogram of a key. It returns false if
// there is none or its weight is below MinWeight.
func (c *Classifier) estimateFrom(k key, src Source) (Estimate, bool) {
	el := c.histograms[k]
	if el == nil {
		return Estimate{}, false
	}
	h := &el.Value.(*cachedHistogram).hist
	if h.weight() < c.cfg.MinWeight {
		return Estimate{}, false
	}
	high := h.quantile(c.cfg.Quantile)
	return Estimate{Class: c.ClassOf(high), Expected: h.quantile(0.5), High: high, Source: src}, true
}

// histogramFor returns the histogram of a key and marks it as used. If it is new and
// exceeds the bound, the least recently used histogram is evicted.
func (c *Classifier) histogramFor(k key) *histogram {
	if el := c.histograms[k]; el != nil {
		c.lru.MoveToFront(el)
		return &el.Value.(*cachedHistogram).hist
	}
	if c.lru.Len() >= c.cfg.MaxKeys {
		oldest := c.lru.Back()
		delete(c.histograms, oldest.Value.(*cachedHistogram).key)
		c.lru.Remove(oldest)
	}
	s := &cachedHistogram{key: k}
	c.histograms[k] = c.lru.PushFront(s)
	return &s.hist
}
