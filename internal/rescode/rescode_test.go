package rescode

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestOfUnwraps guards against a wrapped error that loses its code on the way to the
// caller.
func TestOfUnwraps(t *testing.T) {
	err := fmt.Errorf("dispatch: %w", Errorf(SlotsFull, "agent vm-1"))
	assert.Equal(t, SlotsFull, Of(err))
	assert.Equal(t, Internal, Of(fmt.Errorf("plain")))
	assert.Equal(t, OK, Of(nil))
}

// TestOutcomeByRange guards against a code whose range means "not run" for work that
// may have run.
func TestOutcomeByRange(t *testing.T) {
	assert.Equal(t, NotRun, Tombstoned.Outcome())
	assert.Equal(t, Unknown, AnswerLost.Outcome())
	assert.Equal(t, Unknown, SessionLost.Outcome())
	assert.Equal(t, Done, UpstreamFailed.Outcome())
}
