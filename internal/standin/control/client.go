package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// maxRecordsBody limits the response of one stand-in, in bytes.
const maxRecordsBody = 512 << 20

// FetchRecords decodes the records of the stand-in at baseURL into out, a
// pointer to the Records type of that stand-in. Only ctx bounds its time.
func FetchRecords(ctx context.Context, client *http.Client, baseURL string, out any) error {
	return exchange(ctx, client, http.MethodGet, strings.TrimRight(baseURL, "/")+PathRecords, nil, out)
}

// PostFaults replaces the faults of the stand-in at baseURL.
func PostFaults[F any](ctx context.Context, client *http.Client, baseURL string, faults F) error {
	body, err := json.Marshal(faults)
	if err != nil {
		return fmt.Errorf("control: faults: %w", err)
	}
	var inForce F
	return exchange(ctx, client, http.MethodPost, strings.TrimRight(baseURL, "/")+PathFaults, body, &inForce)
}

// exchange sends one request and decodes the JSON response into out. Any status
// other than 200 is an error.
func exchange(ctx context.Context, client *http.Client, method, url string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxRecordsBody+1))
	if err != nil {
		return fmt.Errorf("control: read answer of %s: %w", url, err)
	}
	if len(answer) > maxRecordsBody {
		return fmt.Errorf("control: answer of %s exceeds %d bytes", url, maxRecordsBody)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("control: %s %s: status %d: %.200s", method, url, resp.StatusCode, answer)
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return fmt.Errorf("control: answer of %s: %w", url, err)
	}
	return nil
}
