package lead_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet"
	standin "vanillalock.example/vanillalock/internal/standin/fleet"
	"vanillalock.example/vanillalock/internal/standin/proxy"
)

// proxiedListener is a listener that is reached through a proxy.
type proxiedListener struct {
	net.Listener
	proxy net.Addr
}

func (l proxiedListener) Addr() net.Addr { return l.proxy }

// proxiedAgent runs an agent whose sessions pass through a proxy.
func (r *testFleet) proxiedAgent(name string, runTime time.Duration) *proxy.Proxy {
	listener := listen(r.t)
	p, err := proxy.New(listener.Addr().String())
	require.NoError(r.t, err)
	r.t.Cleanup(p.Close)
	x := standin.NewExecutor(name, runTime, r.audit)
	address, err := net.ResolveTCPAddr("tcp", p.Address())
	require.NoError(r.t, err)
	r.runAgent(name, proxiedListener{listener, address}, x, r.store, executorOf(name))
	return p
}

// Guards against lasting tasks of a cancelled job that run on because their stops were sent
// into a session that had gone silent.
func TestCancelledJobStopsThoughTheSessionsWithItsAgentsHaveGoneSilent(t *testing.T) {
	r := newTestFleet(t, 2, 0, time.Hour)
	proxies := []*proxy.Proxy{r.proxiedAgent("vm-0", time.Hour), r.proxiedAgent("vm-1", time.Hour)}
	job := jobOf("job", 4)
	job.Steps = job.Steps[:1]
	job.Steps[0].Lasting = true
	r.submit(r.entries[0], job)
	running := func() (n int) {
		for i := range job.Steps[0].Count {
			if r.audit.Running(fleet.TaskID{Job: "job", Index: i}) {
				n++
			}
		}
		return n
	}
	require.Eventually(t, func() bool { return running() == 4 }, waitTimeout, 5*time.Millisecond)
	for _, p := range proxies {
		p.Silence()
	}
	require.Equal(t, fleet.ResultOK, r.entries[1].Cancel(context.Background(), "job").Result)
	require.Eventually(t, func() bool { return running() == 0 }, waitTimeout, 5*time.Millisecond, "tasks run on")
	require.Empty(t, r.audit.Violations())
}
