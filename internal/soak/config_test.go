package soak

import (
	"fmt"
	"net/http"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	wire "vanillalock.example/vanillalock/platform/standin"
)

// probeInterval is the interval at which the configuration of one entry is probed.
const probeInterval = 400 * time.Millisecond

// versionPath returns the path prefix of the queue that exists only in the given
// version of the configuration.
func versionPath(version uint64) string { return fmt.Sprintf("/version-%d/", version) }

// currentVersion returns the version of the newest configuration.
func (f *testFleet) currentVersion() uint64 {
	f.versionMu.Lock()
	defer f.versionMu.Unlock()
	return f.version
}

// newProbe returns a client that opens a new connection for each call.
func newProbe() *http.Client {
	return &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// hasVersion reports whether an entry serves the queue of a version.
func (f *testFleet) hasVersion(client *http.Client, p *process, version uint64) bool {
	req, err := http.NewRequestWithContext(f.ctx, http.MethodGet, fmt.Sprintf("http://%s:%d%s", p.ip, wire.FrontPort, versionPath(version)), nil)
	if err != nil {
		f.checker.report("probe of %s: %v", p.node, err)
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

// startCount returns the number of starts of a process so far.
func (p *process) startCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// watchVersions reports a violation if an entry returns to an earlier configuration
// without a restart of its process.
func (f *testFleet) watchVersions(p *process) {
	client := newProbe()
	newest, starts := uint64(0), 0
	for ; f.ctx.Err() == nil; fleet.Sleep(f.ctx, probeInterval) {
		if now := p.startCount(); now != starts {
			newest, starts = 0, now
		}
		version := f.currentVersion()
		if f.hasVersion(client, p, version) && p.startCount() == starts {
			newest = version
		}
		if newest < 2 {
			continue
		}
		if f.hasVersion(client, p, newest-1) && p.startCount() == starts {
			f.checker.report("CONFIG %s has version %d after %d", p.node, newest-1, newest)
		}
	}
}

// outdatedEntries returns a message for each entry that does not have the newest
// configuration and has not been taken away.
func (f *testFleet) outdatedEntries() []string {
	client := newProbe()
	version := f.currentVersion()
	var out []string
	for _, p := range f.entries {
		if !p.isAway() && !f.hasVersion(client, p, version) {
			out = append(out, fmt.Sprintf("%s does not have version %d", p.node, version))
		}
	}
	return out
}
