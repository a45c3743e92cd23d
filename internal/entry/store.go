package entry

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"vanillalock.example/vanillalock/coord/lease"
	"vanillalock.example/vanillalock/coord/shard"
	"vanillalock.example/vanillalock/internal/kv"
	"vanillalock.example/vanillalock/internal/structs"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

const (
	// entryLease is the lease of an entry's own key.
	entryLease = 10 * time.Second
	// storeInterval is the time between two reads of the region's keys. A read
	// verifies the ownership that permits rest on.
	storeInterval = time.Second
	// keepAlivesPerLease lets two of three renewals fail.
	keepAlivesPerLease = 3
	// useInterval is the time between two writes of the use of the teams. A team
	// can exceed its quota by what starts at other entries within it.
	useInterval = 5 * time.Second
)

// peerRecord is the value of an entry's own key.
type peerRecord struct {
	Incarnation   string `json:"incarnation"`
	ID            string `json:"id"`
	Session       string `json:"session"`
	API           string `json:"api"`
	FailureDomain string `json:"failure_domain"`
	// TeamUse is what the teams use through this entry, for the quotas.
	TeamUse map[string]structs.Resources `json:"team_use,omitempty"`
}

// region is what one read of the region's keys returned.
type region struct {
	started, read  lease.Instant
	peers          map[string]peerRecord
	table          shard.Table
	tableVersion   uint64
	members        shard.Members
	membersVersion uint64
}

// storeLoop keeps the entry registered and its ownership verified. It is the
// only goroutine that writes the region's keys.
func (e *Entry) storeLoop(ctx context.Context) {
	s := &storeClient{entry: e, prefix: "regions/" + e.opts.Region + "/"}
	defer s.unregister()
	for ctx.Err() == nil {
		s.round(ctx)
		if !e.sleep(e.opts.StoreTimes.Poll) {
			return
		}
	}
}

// storeClient holds the state of storeLoop.
type storeClient struct {
	entry     *Entry
	prefix    string
	lease     kv.LeaseID
	keptAlive time.Time
	seq       uint64 // of this writer's values

	version uint64 // of the entry's own key
	use     map[string]structs.Resources
	useAt   time.Time
}

// round registers the entry, reads the region and writes what the control
// state plans.
func (s *storeClient) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 3*s.entry.opts.StoreTimes.Call)
	defer cancel()
	if err := s.register(ctx); err != nil {
		s.entry.opts.Log.Debug("Not registered.", "err", err)
		return
	}
	s.publishUse(ctx)
	r, err := s.read(ctx)
	if err != nil {
		s.entry.opts.Log.Debug("Region not read.", "err", err)
		return
	}
	plan, ok := ask(ctx, s.entry, func(c *control) storePlan { return c.onRegion(r) })
	if !ok {
		return
	}
	if len(plan.changes) > 0 {
		s.writeTable(ctx, r, plan.changes)
	}
	if plan.updateMembers {
		s.writeMembers(ctx, r)
	}
}

// register grants the entry's lease and writes its key; it keeps the lease alive.
func (s *storeClient) register(ctx context.Context) error {
	e := s.entry
	if s.lease != 0 && time.Since(s.keptAlive) < e.opts.StoreTimes.Lease/keepAlivesPerLease {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, e.opts.StoreTimes.Call)
	defer cancel()
	if s.lease != 0 {
		err := e.opts.Store.KeepAlive(callCtx, s.lease)
		if err == nil {
			s.keptAlive = time.Now()
			return nil
		}
		if !errors.Is(err, kv.ErrNotFound) {
			return err
		}
		s.lease = 0
	}
	id, err := e.opts.Store.GrantLease(callCtx, e.opts.StoreTimes.Lease)
	if err != nil {
		return err
	}
	s.lease, s.keptAlive, s.version = id, time.Now(), 0
	if old, err := e.opts.Store.Get(callCtx, s.key()); err == nil {
		s.version = old.Version
	}
	return s.writeSelf(callCtx)
}

func (s *storeClient) key() string { return s.prefix + "entries/" + s.entry.incarnation }

// writeSelf writes the entry's own key. A lost answer is repaired by the next
// registration, which reads the version.
func (s *storeClient) writeSelf(ctx context.Context) error {
	e := s.entry
	value, err := json.Marshal(peerRecord{
		Incarnation: e.incarnation, ID: e.opts.ID, Session: e.opts.Advertise, API: e.opts.API,
		FailureDomain: e.opts.FailureDomain, TeamUse: s.use,
	})
	if err != nil {
		return err
	}
	entry, err := e.opts.Store.CompareAndSwap(ctx, s.key(), s.version, value, s.lease)
	if err == nil {
		s.version = entry.Version
		return nil
	}
	if errors.Is(err, kv.ErrUncertain) || errors.Is(err, kv.ErrConflict) {
		if read, readErr := e.opts.Store.Get(ctx, s.key()); readErr == nil {
			s.version = read.Version
			return nil
		}
	}
	s.lease = 0
	return err
}

// publishUse writes what the teams use through this entry when it has changed.
func (s *storeClient) publishUse(ctx context.Context) {
	if time.Since(s.useAt) < useInterval {
		return
	}
	use, ok := ask(ctx, s.entry, func(c *control) map[string]structs.Resources { return c.jobs.teamUse() })
	if !ok || maps.Equal(use, s.use) {
		return
	}
	s.use, s.useAt = use, time.Now()
	callCtx, cancel := context.WithTimeout(ctx, s.entry.opts.StoreTimes.Call)
	defer cancel()
	if err := s.writeSelf(callCtx); err != nil {
		s.entry.opts.Log.Debug("Use of the teams not written.", "err", err)
	}
}

// unregister ends the lease on a planned stop, so that nobody waits for it.
func (s *storeClient) unregister() {
	if s.lease == 0 || !s.entry.isDrained() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.entry.opts.StoreTimes.Call)
	defer cancel()
	if err := s.entry.opts.Store.Revoke(ctx, s.lease); err != nil {
		s.entry.opts.Log.Debug("Lease not revoked.", "err", err)
	}
}

// read lists the region's keys with one call.
func (s *storeClient) read(ctx context.Context) (region, error) {
	e := s.entry
	callCtx, cancel := context.WithTimeout(ctx, e.opts.StoreTimes.Call)
	defer cancel()
	r := region{started: e.now(), peers: map[string]peerRecord{}, table: shard.NewTable(e.opts.Shards)}
	entries, _, err := e.opts.Store.List(callCtx, s.prefix)
	if err != nil {
		return r, err
	}
	r.read = e.now()
	for _, entry := range entries {
		switch name := strings.TrimPrefix(entry.Key, s.prefix); {
		case name == "owners":
			r.table, err = shard.DecodeTable(entry.Value, e.opts.Shards)
			r.tableVersion = entry.Version
		case name == "members":
			r.members, err = shard.DecodeMembers(entry.Value)
			r.membersVersion = entry.Version
		case strings.HasPrefix(name, "entries/"):
			var p peerRecord
			if err = json.Unmarshal(entry.Value, &p); err == nil {
				r.peers[p.Incarnation] = p
			}
		}
		if err != nil {
			return r, err
		}
	}
	return r, nil
}

// writeTable writes planned changes of ownership. A lost race is planned anew
// from the next read.
func (s *storeClient) writeTable(ctx context.Context, r region, changes []shard.Change) {
	s.seq++
	stamp := shard.Stamp{Writer: s.entry.incarnation, Seq: s.seq}
	next, err := r.table.Apply(stamp, changes)
	if err != nil {
		s.entry.opts.Log.Error("Ownership plan does not apply.", "err", err)
		return
	}
	value, err := next.Encode()
	if err != nil {
		s.entry.opts.Log.Error("Ownership table not encoded.", "err", err)
		return
	}
	started := s.entry.now()
	entry, err := s.entry.opts.Store.CompareAndSwap(ctx, s.prefix+"owners", r.tableVersion, value, 0)
	if errors.Is(err, kv.ErrUncertain) {
		// The next round reads the table: the content decides.
		return
	}
	if err != nil {
		s.entry.opts.Log.Debug("Ownership not written.", "err", err)
		return
	}
	r.table, r.tableVersion = next, entry.Version
	r.started, r.read = started, s.entry.now()
	s.entry.do(ctx, func(c *control) { c.onTable(r) })
}

// writeMembers writes a new epoch with the live entries.
func (s *storeClient) writeMembers(ctx context.Context, r region) {
	s.seq++
	next, changed := r.members.With(shard.Stamp{Writer: s.entry.incarnation, Seq: s.seq}, r.live(), 0)
	if !changed {
		return
	}
	value, err := next.Encode()
	if err != nil {
		s.entry.opts.Log.Error("Member list not encoded.", "err", err)
		return
	}
	if _, err := s.entry.opts.Store.CompareAndSwap(ctx, s.prefix+"members", r.membersVersion, value, 0); err != nil {
		s.entry.opts.Log.Debug("Member list not written.", "err", err)
	}
}

func (r region) live() []string {
	out := make([]string, 0, len(r.peers))
	for id := range r.peers {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// storePlan is what the control state wants written after a read.
type storePlan struct {
	changes       []shard.Change
	updateMembers bool
}

// onRegion takes over a read of the region's keys.
func (c *control) onRegion(r region) storePlan {
	c.peers = r.peers
	c.members.Observers(c.otherEntries())
	c.jobs.onPeers(r.peers)
	c.onTable(r)
	c.probePeers()
	live := r.live()
	c.jobs.planner.Live(r.read, live)
	current := r.members.Current()
	c.verifier.Members(lease.MemberList{Epoch: current.Epoch, Members: current.Members})
	c.jobs.onMembers(r)
	plan := storePlan{changes: c.jobs.plan(r.read, r.table)}
	// The first live entry writes new epochs, so that they do not race. During
	// the grace after an outage live entries are still registering, so that the
	// list only grows.
	first := len(live) > 0 && live[0] == c.entry.incarnation
	settled := !c.jobs.planner.InGrace(r.read) || includes(live, current.Members)
	plan.updateMembers = first && settled && !slices.Equal(live, current.Members)
	return plan
}

// includes reports whether all holds every name of part.
func includes(all, part []string) bool {
	return !slices.ContainsFunc(part, func(name string) bool { return !slices.Contains(all, name) })
}

// onTable takes over the ownership table as read or written.
func (c *control) onTable(r region) {
	var owned []lease.ShardGeneration
	for _, s := range r.table.Owned(c.entry.incarnation) {
		owned = append(owned, lease.ShardGeneration{Shard: s, Generation: r.table.Shards[s].Generation})
	}
	c.verifier.Owned(r.started, r.read, owned)
	c.jobs.onOwned(r, owned)
}

func (c *control) otherEntries() []string {
	var out []string
	for id := range c.peers {
		if id != c.entry.incarnation {
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}

func (c *control) entryAddressList() []*pb.EntryAddress {
	ids := append(c.otherEntries(), c.entry.incarnation)
	sort.Strings(ids)
	var out []*pb.EntryAddress
	for _, id := range ids {
		if p, ok := c.peers[id]; ok && p.Session != "" {
			out = append(out, &pb.EntryAddress{Entry: id, Address: p.Session})
		}
	}
	return out
}

func (c *control) entryAddresses() string {
	var b strings.Builder
	for _, a := range c.entryAddressList() {
		b.WriteString(a.Entry + "=" + a.Address + ";")
	}
	return b.String()
}
