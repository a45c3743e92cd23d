package load

import (
	"encoding/json"
	"slices"
	"testing"

	"vanillalock.example/vanillalock/internal/standin/upstream"
)

// FuzzDecodeAnswer guards against answers that make the generator panic, and
// against a malformed answer that is accepted as the echo of a request.
func FuzzDecodeAnswer(f *testing.F) {
	f.Add([]byte(`{"request_id":"a","outcome":"done","code":0,"body_base64":"e30="}`))
	f.Add([]byte(`{"code":1003}`))
	f.Add([]byte(`{"outcome":"done","body":{"request_id":"a","template":"t","customer":"c"}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		answer, err := DecodeAnswer(body)
		if err != nil {
			return
		}
		if !slices.Contains([]string{outcomeDone, outcomeNotRun, outcomeUnknown}, answer.Outcome) {
			t.Fatalf("outcome %q", answer.Outcome)
		}
		var echo upstream.Echo
		if upstream.CheckEcho(answer.Bytes(), "a", "t", "c", nil) == nil &&
			(json.Unmarshal(answer.Bytes(), &echo) != nil || echo.RequestID != "a") {
			t.Fatalf("accepted %q", answer.Bytes())
		}
	})
}
