package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

// Guards against "not run" for a request that an earlier call ran through
// another entry: the proof of a repeated call covers that call only.
func TestRepeatIsNeverToldNotRun(t *testing.T) {
	for code := range rescode.All() {
		got := unproven(structs.Answer{RequestID: "r", Code: code})
		require.NotEqual(t, rescode.NotRun, got.Code.Outcome(), "code %d", code)
		if code.Outcome() != rescode.NotRun {
			require.Equal(t, code, got.Code)
		}
	}
}
