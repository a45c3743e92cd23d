package scheduler

import (
	"math"
	"time"

	"vanillalock.example/vanillalock/internal/quota"
	"vanillalock.example/vanillalock/internal/structs"
)

// maxShapes is the number of shapes with cached results: 256 shapes at 650 VMs take
// 2.7 MB.
const maxShapes = 256

// Config holds the limits of a scheduler. Zero values mean the defaults.
type Config struct {
	// HoldAfter is how long a batch task waits before capacity on one VM is held for
	// it, because free capacity is too fragmented. Default 60 s.
	HoldAfter time.Duration
	// UrgentEvictionAfter is how long an urgent task waits before the scheduler requests
	// evictions of batch tasks for it. Default 1 s of the 9 s within which an urgent
	// task has to start.
	UrgentEvictionAfter time.Duration
	// MaxHeldShare is the share of VMs with held capacity from which on no capacity
	// is held for further batch tasks. At least one VM may be held. Default 0.05.
	MaxHeldShare float64
	// RecoveryShare is the share of the free capacity that restarts of recovered
	// tasks may take per second. Default 0.10.
	RecoveryShare float64
	// RefusalBackoff is how long a VM gets no task after its agent refused one.
	// Default 2 s, one heartbeat interval: then the agent has reported its load.
	RefusalBackoff time.Duration
}

func (c Config) withDefaults() Config {
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&c.HoldAfter, time.Minute)
	def(&c.UrgentEvictionAfter, time.Second)
	def(&c.RefusalBackoff, 2*time.Second)
	if c.MaxHeldShare == 0 {
		c.MaxHeldShare = 0.05
	}
	if c.RecoveryShare == 0 {
		c.RecoveryShare = 0.10
	}
	return c
}

// Scheduler proposes placements. It is not safe for concurrent use.
type Scheduler struct {
	cfg          Config
	plugins      Plugins
	cachedScores []Score
	jobScores    []Score
	quota        *quota.Ledger

	nodes             []*Node
	byID              map[string]*Node
	rackIndexes       map[string]int
	domainIndexes     map[string]int
	templateIndexes   map[string]int             // index by template
	vmTypes           map[structs.Resources]bool // capacities of all VMs seen, also of removed ones
	inventoryComplete bool                       // see SetInventoryComplete

	placed          map[structs.TaskID]*Task
	caches          map[Shape]*shapeCache
	cacheEpoch      uint32 // cached results of an older epoch are invalid
	capacityVersion uint64 // increases when a VM may take more than before
	queue           queue
	rejected        map[structs.TaskID]*Task // of decisions that the planner rejected, until the next Tick
	heldNodes       map[structs.TaskID]*Node // VM with held capacity, by task
	heldTasks       []*Task                  // the tasks in heldNodes, oldest hold first
	heldTriedAt     uint64                   // value of capacityVersion at which no held task could be placed
	recoveryBucket  tokenBucket              // limits restarts of recovered tasks
}

var _ State = (*Scheduler)(nil)

// shapeCache caches the results of filters and cached scores for the tasks of one
// Shape. scores and versions are indexed by Node.Index.
type shapeCache struct {
	Shape
	scores       []float64 // -Inf: the VM is excluded by a filter
	versions     []uint32  // version of the VM when it was scored
	epoch        uint32
	blockedAt    uint64 // value of capacityVersion at which no VM was found, 0 if none
	cannotRun    string // why no VM type can hold the task, empty if one can
	typesChecked int    // number of VM types for which cannotRun was computed
}

// New returns a scheduler without VMs. Placements are charged to ledger.
func New(cfg Config, plugins Plugins, ledger *quota.Ledger) *Scheduler {
	s := &Scheduler{cfg: cfg.withDefaults(), plugins: plugins, quota: ledger, byID: map[string]*Node{},
		rackIndexes: map[string]int{}, domainIndexes: map[string]int{}, templateIndexes: map[string]int{}, vmTypes: map[structs.Resources]bool{},
		placed: map[structs.TaskID]*Task{}, caches: map[Shape]*shapeCache{}, heldNodes: map[structs.TaskID]*Node{}, rejected: map[structs.TaskID]*Task{}, capacityVersion: 1, cacheEpoch: 1}
	s.queue.init()
	for _, p := range plugins.Scores {
		if _, ok := p.(JobDependent); ok {
			s.jobScores = append(s.jobScores, p)
		} else {
			s.cachedScores = append(s.cachedScores, p)
		}
	}
	return s
}

// Nodes implements State. The entries of removed VMs are nil.
func (s *Scheduler) Nodes() []*Node { return s.nodes }

// Lookup implements State.
func (s *Scheduler) Lookup(nodeID string) *Node { return s.byID[nodeID] }

// Waiting implements State: it returns the number of queued tasks.
func (s *Scheduler) Waiting() int { return len(s.queue.byID) }

// Placed returns a placed task, or nil.
func (s *Scheduler) Placed(id structs.TaskID) *Task { return s.placed[id] }

// Invalidate discards all cached results. Call it when an input of a plugin other
// than the VMs has changed, for example the interference model.
func (s *Scheduler) Invalidate() {
	s.cacheEpoch++
	s.capacityVersion++
}

// bestNode returns the VM with the highest score for the task, or nil if all are
// excluded.
func (s *Scheduler) bestNode(t *Task) *Node {
	cache := s.cacheFor(t.Shape)
	if cache.blockedAt == s.capacityVersion {
		return nil
	}
	s.refreshCache(cache, t)
	best, bestScore := -1, math.Inf(-1)
	if !s.hasJobScore(t) {
		for i, v := range cache.scores {
			if v > bestScore {
				best, bestScore = i, v
			}
		}
	} else {
		best = s.bestNodePerJob(cache, t)
	}
	if best < 0 {
		cache.blockedAt = s.capacityVersion
		return nil
	}
	return s.nodes[best]
}

// hasJobScore reports whether a job-dependent score applies to the task.
func (s *Scheduler) hasJobScore(t *Task) bool {
	for _, p := range s.jobScores {
		if p.(JobDependent).Applies(t) {
			return true
		}
	}
	return false
}

// bestNodePerJob returns the index of the VM with the highest sum of cached and
// job-dependent scores, or -1 if all are excluded.
func (s *Scheduler) bestNodePerJob(cache *shapeCache, t *Task) int {
	best, bestScore := -1, math.Inf(-1)
	for i, v := range cache.scores {
		if math.IsInf(v, -1) {
			continue
		}
		for _, p := range s.jobScores {
			v += p.Score(s.nodes[i], t)
		}
		if v > bestScore {
			best, bestScore = i, v
		}
	}
	return best
}

// refreshCache updates the cached results of the shape for the VMs that changed since
// it was last used.
func (s *Scheduler) refreshCache(cache *shapeCache, t *Task) {
	if cache.epoch != s.cacheEpoch {
		clear(cache.versions)
		cache.epoch = s.cacheEpoch
	}
	for len(cache.scores) < len(s.nodes) {
		cache.scores, cache.versions = append(cache.scores, 0), append(cache.versions, 0)
	}
	for i, n := range s.nodes {
		if n == nil {
			cache.scores[i] = math.Inf(-1)
		} else if cache.versions[i] != n.version {
			cache.versions[i], cache.scores[i] = n.version, s.evaluate(n, t)
		}
	}
}

// evaluate returns the sum of the cacheable scores, or -Inf if a filter excludes
// the VM.
func (s *Scheduler) evaluate(n *Node, t *Task) float64 {
	for _, p := range s.plugins.Filters {
		if !p.Filter(n, t) {
			return math.Inf(-1)
		}
	}
	sum := 0.0
	for _, p := range s.cachedScores {
		sum += p.Score(n, t)
	}
	return sum
}

// reserve places the task on the VM and reserves its size there. It changes nothing
// if a plugin returns an error.
func (s *Scheduler) reserve(n *Node, t *Task, now time.Time) error {
	for i, p := range s.plugins.Reserves {
		if err := p.Reserve(n, t); err != nil {
			for _, q := range s.plugins.Reserves[:i] {
				q.Release(n, t)
			}
			return err
		}
	}
	n.Used = n.Used.Add(t.Size)
	n.Tasks[t.ID] = t
	n.addToMix(t, 1)
	t.node, t.Started = n, now
	s.placed[t.ID] = t
	s.quota.Charge(t.Team, t.Size)
	s.markChanged(n, false)
	return nil
}

// Release frees the resources of a placed task whose attempt has ended.
func (s *Scheduler) Release(id structs.TaskID) {
	t := s.placed[id]
	if t == nil {
		return
	}
	n := t.node
	for _, p := range s.plugins.Reserves {
		p.Release(n, t)
	}
	n.Used = n.Used.Sub(t.Size)
	delete(n.Tasks, id)
	delete(s.placed, id)
	n.addToMix(t, -1)
	t.node = nil
	s.quota.Refund(t.Team, t.Size)
	s.markChanged(n, true)
}

// Refused releases a placement that the agent refused. The VM gets no task for
// Config.RefusalBackoff; by then its load is known again.
func (s *Scheduler) Refused(id structs.TaskID, now time.Time) {
	if t := s.placed[id]; t != nil {
		t.node.backoffUntil = now.Add(s.cfg.RefusalBackoff)
		s.Release(id)
	}
}

// Restore accounts for an attempt that already runs, for example after a takeover.
// It skips filters and reserve plugins, as the agent has accepted the task. It
// returns false if the VM is unknown or the task is placed already.
func (s *Scheduler) Restore(t Task, nodeID string, now time.Time) bool {
	n := s.byID[nodeID]
	if n == nil || s.placed[t.ID] != nil {
		return false
	}
	t.node, t.TemplateIndex = n, indexOf(s.templateIndexes, t.Template)
	n.Used = n.Used.Add(t.Size)
	n.Tasks[t.ID] = &t
	n.addToMix(&t, 1)
	t.Started = now
	s.placed[t.ID] = &t
	s.quota.Charge(t.Team, t.Size)
	s.markChanged(n, false)
	return true
}

// markChanged records a change of a VM, which invalidates its cached results.
// moreCapacity states that the VM may now take tasks that did not fit before.
func (s *Scheduler) markChanged(n *Node, moreCapacity bool) {
	n.version++
	if moreCapacity {
		s.capacityVersion++
	}
}

// cacheFor returns the cache of a shape. When maxShapes are cached, it drops them all
// first.
func (s *Scheduler) cacheFor(key Shape) *shapeCache {
	cache := s.caches[key]
	if cache == nil {
		if len(s.caches) >= maxShapes {
			clear(s.caches)
		}
		cache = &shapeCache{Shape: key}
		s.caches[key] = cache
	}
	return cache
}

// addToMix adds d tasks of t's template and class to the mix of the VM.
func (n *Node) addToMix(t *Task, d int) {
	for i := range n.Mix {
		if n.Mix[i].TemplateIndex == t.TemplateIndex && n.Mix[i].QoS == t.QoS {
			if n.Mix[i].Count += d; n.Mix[i].Count == 0 {
				n.Mix = append(n.Mix[:i], n.Mix[i+1:]...)
			}
			return
		}
	}
	n.Mix = append(n.Mix, TemplateCount{t.Template, t.TemplateIndex, t.QoS, d})
}
