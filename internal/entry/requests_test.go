package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/rescode"
	"vanillalock.example/vanillalock/internal/structs"
)

// Guards against answering "not run" to a repeated call although an earlier
// call has run through another entry. A proof covers only the call that it was
// made for.
func TestRepeatIsNeverToldNotRun(t *testing.T) {
	for code := range rescode.All() {
		got := notRunToUnknown(structs.Answer{RequestID: "r", Code: code})
		require.NotEqual(t, rescode.NotRun, got.Code.Outcome(), "code %d", code)
		if code.Outcome() != rescode.NotRun {
			require.Equal(t, code, got.Code)
		}
	}
}
