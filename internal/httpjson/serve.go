package httpjson

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// ErrBodyTooLarge reports a request body above the limit.
var ErrBodyTooLarge = errors.New("httpjson: body too large")

// Decode reads one JSON value of at most limit bytes from the request's body.
// It refuses unknown fields and trailing data.
func Decode(r *http.Request, limit int64, out any) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return fmt.Errorf("httpjson: read body: %w", err)
	}
	if int64(len(body)) > limit {
		return ErrBodyTooLarge
	}
	return Unmarshal(body, out)
}

// Write writes a response with status and v as its JSON body.
func Write(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		status, body = http.StatusInternalServerError, []byte(`{"error":"encode"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// WriteError writes a response with an ErrorBody.
func WriteError(w http.ResponseWriter, status int, code, detail string) {
	Write(w, status, ErrorBody{Error: code, Detail: detail})
}
