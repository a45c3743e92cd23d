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
	// defaultEntryLease is the default TTL of the lease of an entry's own key.
	defaultEntryLease = 10 * time.Second
	// defaultPollInterval is the default time between two reads of the region's
	// keys. A read verifies the shard ownership, on which the permits depend.
	defaultPollInterval = time.Second
	// keepAlivesPerLease is the number of renewals within one lease TTL. With
	// 3, the lease survives two failed renewals in a row.
	keepAlivesPerLease = 3
	// usageInterval is the minimum time between two writes of the resource
	// usage of the teams. A team can exceed its quota by what other entries
	// start for it within this time.
	usageInterval = 5 * time.Second
)

// peerRecord is the value of an entry's own key in the store, in JSON.
type peerRecord struct {
	Incarnation   string `json:"incarnation"`
	ID            string `json:"id"`
	Session       string `json:"session"`
	API           string `json:"api"`
	FailureDomain string `json:"failure_domain"`
	// TeamUse holds the resources that each team uses through this entry. The
	// other entries count them against the quotas.
	TeamUse map[string]structs.Resources `json:"team_use,omitempty"`
}

// regionSnapshot is the content of the region's keys as of one read.
type regionSnapshot struct {
	requestedAt, receivedAt lease.Instant // when the read, or a table write after it, was sent and returned
	peers                   map[string]peerRecord
	table                   shard.Table
	tableVersion            uint64
	members                 shard.Members
	membersVersion          uint64
}

// storeLoop keeps the entry registered and its shard ownership verified. It is
// the only goroutine of the entry that writes the region's keys.
func (e *Entry) storeLoop(ctx context.Context) {
	s := &storeClient{entry: e, prefix: "regions/" + e.opts.Region + "/"}
	defer s.unregister()
	for ctx.Err() == nil {
		s.poll(ctx)
		if !e.sleep(e.opts.StoreTimes.PollInterval) {
			return
		}
	}
}

// storeClient holds the state of storeLoop.
type storeClient struct {
	entry       *Entry
	prefix      string
	lease       kv.LeaseID
	keptAliveAt time.Time
	seq         uint64 // sequence number of the values that this entry writes

	version        uint64 // of the entry's own key
	teamUsage      map[string]structs.Resources
	usageWrittenAt time.Time
}

// poll registers the entry, reads the region's keys and writes the changes that
// the control goroutine plans.
func (s *storeClient) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 3*s.entry.opts.StoreTimes.CallTimeout)
	defer cancel()
	if err := s.register(ctx); err != nil {
		s.entry.opts.Log.Debug("Not registered.", "err", err)
		return
	}
	s.publishTeamUsage(ctx)
	r, err := s.readRegion(ctx)
	if err != nil {
		s.entry.opts.Log.Debug("Region not read.", "err", err)
		return
	}
	plan, ok := queryControl(ctx, s.entry, func(c *control) storePlan { return c.onRegion(r) })
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

// register obtains a lease for the entry's own key and writes the key. If the
// entry already has a lease, register renews it when it is due.
func (s *storeClient) register(ctx context.Context) error {
	e := s.entry
	if s.lease != 0 && time.Since(s.keptAliveAt) < e.opts.StoreTimes.EntryLease/keepAlivesPerLease {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, e.opts.StoreTimes.CallTimeout)
	defer cancel()
	if s.lease != 0 {
		err := e.opts.Store.KeepAlive(callCtx, s.lease)
		if err == nil {
			s.keptAliveAt = time.Now()
			return nil
		}
		if !errors.Is(err, kv.ErrNotFound) {
			return err
		}
		s.lease = 0
	}
	id, err := e.opts.Store.GrantLease(callCtx, e.opts.StoreTimes.EntryLease)
	if err != nil {
		return err
	}
	s.lease, s.keptAliveAt, s.version = id, time.Now(), 0
	if old, err := e.opts.Store.Get(callCtx, s.key()); err == nil {
		s.version = old.Version
	}
	return s.writeEntryKey(callCtx)
}

// key returns the entry's own key.
func (s *storeClient) key() string { return s.prefix + "entries/" + s.entry.incarnation }

// writeEntryKey writes the entry's own key. After an uncertain or conflicting
// write it reads the current version; if that fails too, the next register
// starts anew.
func (s *storeClient) writeEntryKey(ctx context.Context) error {
	e := s.entry
	value, err := json.Marshal(peerRecord{
		Incarnation: e.incarnation, ID: e.opts.ID, Session: e.opts.Advertise, API: e.opts.API,
		FailureDomain: e.opts.FailureDomain, TeamUse: s.teamUsage,
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

// publishTeamUsage writes the resources that the teams use through this entry
// if they have changed.
func (s *storeClient) publishTeamUsage(ctx context.Context) {
	if time.Since(s.usageWrittenAt) < usageInterval {
		return
	}
	usage, ok := queryControl(ctx, s.entry, func(c *control) map[string]structs.Resources { return c.jobs.teamUsage() })
	if !ok || maps.Equal(usage, s.teamUsage) {
		return
	}
	s.teamUsage, s.usageWrittenAt = usage, time.Now()
	callCtx, cancel := context.WithTimeout(ctx, s.entry.opts.StoreTimes.CallTimeout)
	defer cancel()
	if err := s.writeEntryKey(callCtx); err != nil {
		s.entry.opts.Log.Debug("Resource usage of teams not written.", "err", err)
	}
}

// unregister revokes the lease after a graceful shutdown, so that the other
// entries need not wait for it to expire.
func (s *storeClient) unregister() {
	if s.lease == 0 || !s.entry.isDrained() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.entry.opts.StoreTimes.CallTimeout)
	defer cancel()
	if err := s.entry.opts.Store.Revoke(ctx, s.lease); err != nil {
		s.entry.opts.Log.Debug("Lease not revoked.", "err", err)
	}
}

// readRegion reads all keys of the region with one call.
func (s *storeClient) readRegion(ctx context.Context) (regionSnapshot, error) {
	e := s.entry
	callCtx, cancel := context.WithTimeout(ctx, e.opts.StoreTimes.CallTimeout)
	defer cancel()
	r := regionSnapshot{requestedAt: e.now(), peers: map[string]peerRecord{}, table: shard.NewTable(e.opts.Shards)}
	entries, _, err := e.opts.Store.List(callCtx, s.prefix)
	if err != nil {
		return r, err
	}
	r.receivedAt = e.now()
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

// writeTable writes planned ownership changes. If another entry has changed the
// table meanwhile, the changes are planned again from the next read.
func (s *storeClient) writeTable(ctx context.Context, r regionSnapshot, changes []shard.Change) {
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
		// The next read shows whether the table was written.
		return
	}
	if err != nil {
		s.entry.opts.Log.Debug("Ownership not written.", "err", err)
		return
	}
	r.table, r.tableVersion = next, entry.Version
	r.requestedAt, r.receivedAt = started, s.entry.now()
	s.entry.postEvent(ctx, func(c *control) { c.updateTable(r) })
}

// writeMembers writes a new epoch of the member list with the live entries.
func (s *storeClient) writeMembers(ctx context.Context, r regionSnapshot) {
	s.seq++
	next, changed := r.members.With(shard.Stamp{Writer: s.entry.incarnation, Seq: s.seq}, r.liveEntries(), 0)
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

// liveEntries returns the incarnations of the live entries, ordered.
func (r regionSnapshot) liveEntries() []string {
	out := make([]string, 0, len(r.peers))
	for id := range r.peers {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// storePlan holds the changes to write to the region's keys after a read.
type storePlan struct {
	changes       []shard.Change
	updateMembers bool
}

// onRegion updates the control state from a read of the region's keys and plans
// the changes to write.
func (c *control) onRegion(r regionSnapshot) storePlan {
	c.peers = r.peers
	c.members.SetObservers(c.otherEntries())
	c.jobs.updateRemoteUsage(r.peers)
	c.updateTable(r)
	c.probePeers()
	live := r.liveEntries()
	c.jobs.planner.SetLive(r.receivedAt, live)
	current := r.members.Current()
	c.verifier.SetMembers(lease.MemberList{Epoch: current.Epoch, Members: current.Members})
	c.jobs.updateMemberLists(r)
	plan := storePlan{changes: c.jobs.planOwnership(r.receivedAt, r.table)}
	// Only the first live entry writes new epochs, so that entries do not race.
	// During the grace period after an outage, entries may not have registered
	// again yet, so the list may only grow.
	first := len(live) > 0 && live[0] == c.entry.incarnation
	settled := !c.jobs.planner.InGrace(r.receivedAt) || containsAll(live, current.Members)
	plan.updateMembers = first && settled && !slices.Equal(live, current.Members)
	return plan
}

// containsAll reports whether all contains every name of part.
func containsAll(all, part []string) bool {
	return !slices.ContainsFunc(part, func(name string) bool { return !slices.Contains(all, name) })
}

// updateTable updates the verified ownership and the owned shards from an
// ownership table that was read or written.
func (c *control) updateTable(r regionSnapshot) {
	var owned []lease.ShardGeneration
	for _, s := range r.table.Owned(c.entry.incarnation) {
		owned = append(owned, lease.ShardGeneration{Shard: s, Generation: r.table.Shards[s].Generation})
	}
	c.verifier.SetOwned(r.requestedAt, r.receivedAt, owned)
	c.jobs.updateOwned(r, owned)
}

// otherEntries returns the incarnations of the other live entries, ordered.
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

// entryAddressList returns the session addresses of all live entries, ordered
// by incarnation.
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

// entryAddresses returns entryAddressList as one string, for comparison.
func (c *control) entryAddresses() string {
	var b strings.Builder
	for _, a := range c.entryAddressList() {
		b.WriteString(a.Entry + "=" + a.Address + ";")
	}
	return b.String()
}
