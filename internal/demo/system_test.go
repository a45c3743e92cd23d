package demo

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/api"
	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

// startSystem starts a small configured system that is ended with the test.
func startSystem(t *testing.T, o SystemOptions) (*System, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	d, err := Find(LienHoa)
	require.NoError(t, err)
	s, err := Start(ctx, d, o)
	require.NoError(t, err)
	t.Cleanup(s.Kill)
	require.NoError(t, s.Configure(ctx))
	require.NoError(t, s.WaitReady(ctx))
	return s, ctx
}

// Guards against a break anywhere on the path from a caller to an upstream and back.
func TestRequestEndToEnd(t *testing.T) {
	s, ctx := startSystem(t, SystemOptions{VMs: 3})
	answer, err := s.Entries[1].Entry.SubmitRequest(ctx, api.RequestInput{ID: "r1", Template: "slot-check", Customer: "hue-temple-desk"})
	require.NoError(t, err)
	require.Equal(t, rescode.OK, answer.Code, answer.Detail)
	again, err := s.Entries[2].Entry.FetchAnswer(ctx, "r1")
	require.NoError(t, err)
	require.Equal(t, answer.Body, again.Body)
}

// Guards against a job that is accepted and not finished.
func TestJobEndToEnd(t *testing.T) {
	s, ctx := startSystem(t, SystemOptions{VMs: 3})
	job, err := s.Entries[0].Entry.SubmitJob(ctx, api.JobInput{Template: "clip-batch", Customer: "hue-temple-desk", Count: 4})
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		got, err := s.Entries[2].Entry.GetJob(ctx, job.ID)
		return err == nil && countTasks([]structs.Job{got}, structs.TaskDone) == 4
	}, time.Minute, 50*time.Millisecond)
}

// Guards against a demonstration that ends with a broken invariant.
func TestRunKeepsInvariants(t *testing.T) {
	d, err := Find(PasjiUrnik)
	require.NoError(t, err)
	report, err := Run(context.Background(), RunOptions{Deployment: d, Duration: 3 * time.Second, Seed: 1})
	require.NoError(t, err)
	require.Zero(t, report.Violations, "%v %v", report.Invariants, report.Findings)
	require.NotZero(t, report.Load.Total.Done)
	require.NotZero(t, report.TaskStarts)
}
