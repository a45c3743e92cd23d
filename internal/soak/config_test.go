package soak

import (
	"fmt"
	"net/http"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	wire "vanillalock.example/vanillalock/platform/standin"
)

// probeEvery spaces the questions for the configuration of one entry.
const probeEvery = 400 * time.Millisecond

// versionPath is the prefix of the queue that only one version of the
// configuration has.
func versionPath(version uint64) string { return fmt.Sprintf("/version-%d/", version) }

func (w *world) currentVersion() uint64 {
	w.versions.Lock()
	defer w.versions.Unlock()
	return w.version
}

// newProbe returns a client whose calls do not share a connection.
func newProbe() *http.Client {
	return &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// knows reports whether an entry shows the queue of a version.
func (w *world) knows(client *http.Client, p *process, version uint64) bool {
	req, err := http.NewRequestWithContext(w.ctx, http.MethodGet, fmt.Sprintf("http://%s:%d%s", p.ip, wire.FrontPort, versionPath(version)), nil)
	if err != nil {
		w.judge.report("probe of %s: %v", p.node, err)
		return false
	}
	req.Host = queueHost
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// life counts the starts of a process.
func (p *process) life() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lives
}

// watchVersions checks that no entry goes back to an earlier configuration within
// one life of its process.
func (w *world) watchVersions(p *process) {
	client := newProbe()
	newest, life := uint64(0), 0
	for ; w.ctx.Err() == nil; fleet.Sleep(w.ctx, probeEvery) {
		if now := p.life(); now != life {
			newest, life = 0, now
		}
		version := w.currentVersion()
		if w.knows(client, p, version) && p.life() == life {
			newest = version
		}
		if newest < 2 {
			continue
		}
		if w.knows(client, p, newest-1) && p.life() == life {
			w.judge.report("CONFIG %s has version %d after %d", p.node, newest-1, newest)
		}
	}
}

// behind returns the entries that do not have the newest configuration.
func (w *world) behind() []string {
	client := newProbe()
	version := w.currentVersion()
	var out []string
	for _, p := range w.entries {
		if !w.knows(client, p, version) {
			out = append(out, fmt.Sprintf("%s does not have version %d", p.node, version))
		}
	}
	return out
}
