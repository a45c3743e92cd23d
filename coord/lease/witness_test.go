package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// witnessRun drives one holder, its members and one new owner with random events
// for two minutes: the new owner asks single members at different times, the
// member list changes, and links between members and agent fail. It returns the
// second at which a permit is still running although the new owner has the proof
// PermitEnded, or 0.
func witnessRun(cfg Config, seed uint64) int {
	rng := rand.New(rand.NewPCG(seed, 1))
	ids := []string{"a", "b", "c", "d", "e", "f"}
	lists := []MemberList{{Epoch: 1, Members: ids[:3]}}
	vs := map[string]*Verifier{}
	linked, contact := map[string]bool{}, map[string]bool{}
	for _, id := range ids {
		vs[id] = NewVerifier(cfg, id, 0)
		vs[id].SetMembers(lists[0])
		linked[id], contact[id] = true, true
	}
	const t0 = 30 * time.Second // the members started before the takeover
	flip := 6
	if seed%4 < 2 {
		flip = 40
	}
	own := []ShardGeneration{{Shard: 1, Generation: 1}}
	vs["a"].SetOwned(t0, t0, own)
	h := NewHolder(cfg, 1)
	h.Adopted()
	h.Ack(t0, vs["a"].Ack(t0, "vm", h.HeartbeatSent(t0), 0))
	epoch := uint64(1)
	if seed%2 == 0 {
		// The attempt's epoch is newer than the agent's list.
		lists = append(lists, MemberList{Epoch: 2, Members: ids[3:]})
		epoch = 2
		for _, id := range ids[:3] {
			contact[id] = false
		}
		for _, id := range ids[3:] {
			linked[id] = false
		}
	}
	if _, err := h.Start(t0, 1, Attempt{Key: Key{"t", 1}, Shard: 1, Generation: 1, Epoch: epoch}); err != nil {
		panic(err)
	}
	r := NewEndProof(cfg, t0, epoch) // taken over right after the start
	r.Lists(t0, lists)
	proven := false
	for s := 1; s < 120; s++ {
		now := t0 + time.Duration(s)*time.Second
		for _, id := range ids {
			if rng.IntN(flip) == 0 {
				linked[id] = rng.IntN(3) > 0
			}
			if rng.IntN(flip) == 0 {
				contact[id] = rng.IntN(4) == 0
			}
			if contact[id] {
				vs[id].RecordStoreContact(now)
				vs[id].SetMembers(lists[len(lists)-1])
			}
		}
		if rng.IntN(8) == 0 && len(lists) < 4 {
			n := rng.IntN(4)
			lists = append(lists, MemberList{Epoch: lists[len(lists)-1].Epoch + 1, Members: ids[n : n+3]})
		}
		if s%2 == 0 {
			seq := h.HeartbeatSent(now)
			for _, id := range ids {
				if linked[id] {
					h.Ack(now, vs[id].Ack(now, "vm", seq, h.Epoch()))
				}
			}
		}
		h.Expire(now)
		for _, id := range ids {
			if rng.IntN(4) == 0 {
				r.Answer(Answer{Member: id, Sent: now, Received: now, Unattested: vs[id].Unattested(now)})
			}
		}
		if rng.IntN(12) == 0 {
			r.Lists(now, lists)
		}
		proven = proven || r.Decide(now) == PermitEnded
		for _, p := range h.Running() {
			if proven && p.Until > now {
				return s
			}
		}
	}
	return 0
}

// witnessRuns is the number of seeds per case. It is large enough to find the
// rarest omission below; the full rule is run over the same seeds.
const witnessRuns = 5000

// TestWitnessRule guards against the proof PermitEnded for a permit that members
// still renew by attestation, and checks that each omission of the rule is found.
func TestWitnessRule(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults Faults
		unsafe bool
	}{
		{"full rule", Faults{}, false},
		{"answers of different times combined", Faults{MixRounds: true}, true},
		{"answers before the end of the wait", Faults{EarlyAnswers: true}, true},
		{"list read before the answers", Faults{StaleList: true}, true},
		{"only the current epoch asked", Faults{CurrentEpochOnly: true}, true},
		{"majority of an earlier epoch", Faults{AnyEpoch: true}, true},
		{"attestation ignored", Faults{IgnoreAttestation: true}, true},
		{"revived after expiry", Faults{Revive: true}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cfg := Default().WithFaults(c.faults)
			found := ""
			for seed := uint64(1); seed <= witnessRuns && found == ""; seed++ {
				if s := witnessRun(cfg, seed); s > 0 {
					found = fmt.Sprintf("seed %d, second %d", seed, s)
				}
			}
			t.Log(found)
			require.Equal(t, c.unsafe, found != "", found)
		})
	}
}

// TestConfigValidate guards against values that make the rule unsafe.
func TestConfigValidate(t *testing.T) {
	require.NoError(t, Default().Validate())
	for name, change := range map[string]func(*Config){
		"margin below the squared drift": func(c *Config) { c.Margin = 50 * time.Millisecond },
		"hold below duration":            func(c *Config) { c.Hold = time.Second },
		"worker lease of half a permit":  func(c *Config) { c.Worker = 5 * time.Second },
		"silence beyond duration":        func(c *Config) { c.Silence = 11 * time.Second },
		"short retention":                func(c *Config) { c.Retention = time.Second },
		"negative drift":                 func(c *Config) { c.Drift = -0.1 },
	} {
		c := Default()
		change(&c)
		require.ErrorIs(t, c.Validate(), ErrConfig, name)
	}
}

// TestPausedHolder guards against a late renewal that extends a permit after it
// ended while the agent was paused.
func TestPausedHolder(t *testing.T) {
	cfg := Default()
	v, h := NewVerifier(cfg, "a", 0), NewHolder(cfg, 1)
	h.Adopted()
	v.SetOwned(0, 0, []ShardGeneration{{Shard: 1, Generation: 1}})
	h.Ack(0, v.Ack(0, "vm", h.HeartbeatSent(0), 0))
	a := Attempt{Key: Key{"t", 1}, Shard: 1, Generation: 1}
	_, err := h.Start(0, 1, a)
	require.NoError(t, err)
	_, err = h.Start(0, 2, a)
	require.ErrorIs(t, err, ErrIncarnation)
	seq := h.HeartbeatSent(9 * time.Second)
	v.SetOwned(9*time.Second, 9*time.Second, []ShardGeneration{{Shard: 1, Generation: 1}})
	late := v.Ack(9*time.Second, "vm", seq, 0)
	actions := h.Ack(10*time.Second, late)
	require.Len(t, actions, 1)
	require.Equal(t, Stop, actions[0].Kind)
	h.Stopped(10*time.Second, a.Key)
	_, err = h.Start(10*time.Second, 1, a)
	require.ErrorIs(t, err, ErrTombstoned)
}
