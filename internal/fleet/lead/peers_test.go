package lead

import (
	"encoding/json"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/fleet/link"
	standin "vanillalock.example/vanillalock/internal/standin/fleet"
	"vanillalock.example/vanillalock/internal/wire"
	"vanillalock.example/vanillalock/internal/wire/pb"
)

// Guards against requests that come at once, as after all sessions have gone silent, and
// fail because each opens a session that closes the one before: submissions became
// uncertain and notices of cancellations were lost.
func TestRequestsAtOnceShareASession(t *testing.T) {
	address := listeningEntry(t, t.Context(), standin.NewStore())
	call, err := json.Marshal(storeCall{Get: "key"})
	require.NoError(t, err)
	for range 20 {
		p := &peers{sessions: map[string]*wire.Session{}}
		var wg sync.WaitGroup
		errs := make([]error, 30)
		for i := range errs {
			wg.Go(func() {
				_, errs[i] = p.ask(t.Context(), address, &pb.FleetAsk{Kind: link.AskStore, Job: call})
			})
		}
		wg.Wait()
		for _, err := range errs {
			require.NoError(t, err)
		}
	}
}
