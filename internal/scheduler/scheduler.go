package scheduler

import (
	"math"
	"time"

	"vanillalock.example/vanillalock/internal/quota"
	"vanillalock.example/vanillalock/internal/structs"
)

// maxShapes bounds the cached shapes: 256 shapes at 650 VMs take 2.7 MB.
const maxShapes = 256

// Config are the limits of a scheduler. Zero values mean the defaults.
type Config struct {
	// HoldAfter is how long a batch task waits for fragmented room before room
	// is held for it. Default 60 s.
	HoldAfter time.Duration
	// UrgentRoomAfter is how long an urgent task waits before batch tasks are
	// asked to make room. Default 1 s of the 9 s in which urgent work starts.
	UrgentRoomAfter time.Duration
	// MaxHeldShare bounds the share of VMs with held room. Default 0.05.
	MaxHeldShare float64
	// RecoveryShare is the share of the free capacity that restarts after a loss
	// may take per second. Default 0.10.
	RecoveryShare float64
	// RefusalBackoff is how long a VM whose agent refused a task gets no other.
	// Default 2 s, one heartbeat interval, after which its load is known.
	RefusalBackoff time.Duration
}

func (c Config) withDefaults() Config {
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&c.HoldAfter, time.Minute)
	def(&c.UrgentRoomAfter, time.Second)
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
	cfg     Config
	plugins Plugins
	static  []Score
	perJob  []Score
	quota   *quota.Ledger

	nodes   []*Node
	byID    map[string]*Node
	racks   map[string]int
	domains map[string]int
	names   map[string]int             // of templates
	types   map[structs.Resources]bool // capacities of all VMs seen
	settled bool

	placed  map[structs.TaskID]*Task
	shapes  map[Shape]*shape
	epoch   uint32 // of all cached scores
	freed   uint64 // rises when a VM may take more than before
	queue   queue
	held    map[structs.TaskID]*Node
	holders []*Task // the keys of held, oldest first
	tried   uint64  // value of freed at which the holders were tried
	restart bucket
}

var _ State = (*Scheduler)(nil)

// shape caches the result of filters and cached scores per VM; -Inf is excluded.
type shape struct {
	Shape
	scores  []float64
	seen    []uint32 // version of the VM when scored
	epoch   uint32
	blocked uint64 // value of freed at which no VM was found, 0 if none
	never   string // why no VM type can hold it
	types   int    // number of VM types when never was computed
}

// New returns a scheduler without VMs.
func New(cfg Config, plugins Plugins, ledger *quota.Ledger) *Scheduler {
	s := &Scheduler{cfg: cfg.withDefaults(), plugins: plugins, quota: ledger, byID: map[string]*Node{},
		racks: map[string]int{}, domains: map[string]int{}, names: map[string]int{}, types: map[structs.Resources]bool{},
		placed: map[structs.TaskID]*Task{}, shapes: map[Shape]*shape{}, held: map[structs.TaskID]*Node{}, freed: 1, epoch: 1}
	s.queue.init()
	for _, p := range plugins.Scores {
		if _, ok := p.(JobDependent); ok {
			s.perJob = append(s.perJob, p)
		} else {
			s.static = append(s.static, p)
		}
	}
	return s
}

// Nodes implements State. Removed VMs are nil.
func (s *Scheduler) Nodes() []*Node { return s.nodes }

// Lookup implements State.
func (s *Scheduler) Lookup(nodeID string) *Node { return s.byID[nodeID] }

// Waiting implements State.
func (s *Scheduler) Waiting() int { return len(s.queue.byID) }

// Placed returns a placed task, or nil.
func (s *Scheduler) Placed(id structs.TaskID) *Task { return s.placed[id] }

// Invalidate discards the cached scores after something else than a VM has
// changed, for example the interference model.
func (s *Scheduler) Invalidate() {
	s.epoch++
	s.freed++
}

// place finds the best VM for the task, or nil.
func (s *Scheduler) place(t *Task) *Node {
	sh := s.shape(t.Shape)
	if sh.blocked == s.freed {
		return nil
	}
	s.refresh(sh, t)
	best, bestScore := -1, math.Inf(-1)
	if !s.jobDependent(t) {
		for i, v := range sh.scores {
			if v > bestScore {
				best, bestScore = i, v
			}
		}
	} else {
		best = s.placePerJob(sh, t)
	}
	if best < 0 {
		sh.blocked = s.freed
		return nil
	}
	return s.nodes[best]
}

func (s *Scheduler) jobDependent(t *Task) bool {
	for _, p := range s.perJob {
		if p.(JobDependent).Applies(t) {
			return true
		}
	}
	return false
}

func (s *Scheduler) placePerJob(sh *shape, t *Task) int {
	best, bestScore := -1, math.Inf(-1)
	for i, v := range sh.scores {
		if math.IsInf(v, -1) {
			continue
		}
		for _, p := range s.perJob {
			v += p.Score(s.nodes[i], t)
		}
		if v > bestScore {
			best, bestScore = i, v
		}
	}
	return best
}

// refresh evaluates the VMs that changed since the shape was last used.
func (s *Scheduler) refresh(sh *shape, t *Task) {
	if sh.epoch != s.epoch {
		clear(sh.seen)
		sh.epoch = s.epoch
	}
	for len(sh.scores) < len(s.nodes) {
		sh.scores, sh.seen = append(sh.scores, 0), append(sh.seen, 0)
	}
	for i, n := range s.nodes {
		if n == nil {
			sh.scores[i] = math.Inf(-1)
		} else if sh.seen[i] != n.version {
			sh.seen[i], sh.scores[i] = n.version, s.evaluate(n, t)
		}
	}
}

func (s *Scheduler) evaluate(n *Node, t *Task) float64 {
	for _, p := range s.plugins.Filters {
		if !p.Filter(n, t) {
			return math.Inf(-1)
		}
	}
	sum := 0.0
	for _, p := range s.static {
		sum += p.Score(n, t)
	}
	return sum
}

// assign reserves the VM for the task.
func (s *Scheduler) assign(n *Node, t *Task, now time.Time) error {
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
	n.count(t, 1)
	t.node, t.Started = n, now
	s.placed[t.ID] = t
	s.quota.Charge(t.Team, t.Size)
	s.touch(n, false)
	return nil
}

// Release returns the room of a placed task: the attempt has ended.
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
	n.count(t, -1)
	t.node = nil
	s.quota.Refund(t.Team, t.Size)
	s.touch(n, true)
}

// Refused releases a placement that the agent refused. The VM gets no other task
// until its load is known again.
func (s *Scheduler) Refused(id structs.TaskID, now time.Time) {
	if t := s.placed[id]; t != nil {
		t.node.backoffUntil = now.Add(s.cfg.RefusalBackoff)
		s.Release(id)
	}
}

// Restore accounts for an attempt that runs already, for example after a takeover.
// It ignores filters: the agent has accepted the task.
func (s *Scheduler) Restore(t Task, nodeID string, now time.Time) bool {
	n := s.byID[nodeID]
	if n == nil || s.placed[t.ID] != nil {
		return false
	}
	t.node, t.TemplateIndex = n, number(s.names, t.Template)
	n.Used = n.Used.Add(t.Size)
	n.Tasks[t.ID] = &t
	n.count(&t, 1)
	t.Started = now
	s.placed[t.ID] = &t
	s.quota.Charge(t.Team, t.Size)
	s.touch(n, false)
	return true
}

// touch marks a VM as changed; more means that it may take more than before.
func (s *Scheduler) touch(n *Node, more bool) {
	n.version++
	if more {
		s.freed++
	}
}

func (s *Scheduler) shape(key Shape) *shape {
	sh := s.shapes[key]
	if sh == nil {
		if len(s.shapes) >= maxShapes {
			clear(s.shapes)
		}
		sh = &shape{Shape: key}
		s.shapes[key] = sh
	}
	return sh
}

func (n *Node) count(t *Task, d int) {
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
