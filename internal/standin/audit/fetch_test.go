package audit

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/standin/control"
	"vanillalock.example/vanillalock/internal/standin/worker"
	"vanillalock.example/vanillalock/internal/structs"
	api "vanillalock.example/vanillalock/internal/worker"
)

// TestRecordsOverHTTP guards against records that lose a field when they are
// fetched by another process, and against faults that do not take effect.
func TestRecordsOverHTTP(t *testing.T) {
	ctx := context.Background()
	w := worker.New(worker.Options{ID: "w", Capacity: core})
	defer w.Close()
	server := httptest.NewServer(w)
	defer server.Close()
	spec := api.Spec{Task: structs.TaskID{Job: "j"}, Token: structs.Token{Attempt: 1}, Template: "render", Resources: core, Checkpoint: "checkpoint:j:0:0:5"}
	require.NoError(t, w.Run(ctx, spec, time.Hour))
	faults := worker.Faults{FailAll: true, UsageLagMs: 5}
	require.NoError(t, control.PostFaults(ctx, http.DefaultClient, server.URL, faults))
	require.Equal(t, faults, w.Faults())
	require.Error(t, control.PostFaults(ctx, http.DefaultClient, server.URL, worker.Faults{LoseAnswers: -1}))
	var got worker.Records
	require.NoError(t, control.FetchRecords(ctx, http.DefaultClient, server.URL, &got))
	require.Equal(t, w.Records(), got)
	require.Len(t, got.Events, 2)
	require.True(t, Check(Input{Workers: []worker.Records{got}}).OK())
}
