package api_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"vanillalock.example/vanillalock/internal/api"
	"vanillalock.example/vanillalock/internal/api/apitest"
	"vanillalock.example/vanillalock/internal/obs"
	"vanillalock.example/vanillalock/internal/rescode"
)

// serve passes a call to h; header alternates names and values.
func serve(h http.Handler, method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func newHandler(s api.Service) http.Handler {
	return api.NewHandler(s, api.Limits{MaxBodyBytes: 4096, MaxTimeout: time.Minute, Metrics: true}, obs.DiscardLogger())
}

const template = `{"kind":"request","qos":"batch"}`

// Guards against invalid input that reaches the service, or that is rejected
// without its result code and field.
func TestRejectedInput(t *testing.T) {
	long := strings.Repeat("n", api.MaxNameLength+1)
	cases := []struct {
		method, path, body string
		header             []string
		code               rescode.Code
		field              string
	}{
		{"POST", "/v1/requests", strings.Repeat(" ", 5000), nil, rescode.BodyTooLarge, ""},
		{"POST", "/v1/requests", `{"template":`, nil, rescode.MalformedBody, ""},
		{"POST", "/v1/requests", `{"template":"t","customer":"c"} {}`, nil, rescode.MalformedBody, ""},
		{"POST", "/v1/requests", `{"template":"t","customer":"c","hue":1}`, nil, rescode.MalformedBody, "hue"},
		{"POST", "/v1/requests", `{"template":7}`, nil, rescode.MalformedBody, "template"},
		{"POST", "/v1/requests", `{"template":"t"}`, nil, rescode.InvalidName, "customer"},
		{"POST", "/v1/requests", `{"template":"t","customer":"` + long + `"}`, nil, rescode.InvalidName, "customer"},
		{"POST", "/v1/requests", `{"template":"t","customer":"c"}`, []string{"Idempotency-Key", "a b"}, rescode.InvalidName, "Idempotency-Key"},
		{"POST", "/v1/requests", `{"template":"t","customer":"c"}`, []string{"Request-Timeout", "5"}, rescode.InvalidDeadline, "Request-Timeout"},
		{"POST", "/v1/requests", `{"template":"t","customer":"c"}`, []string{"Request-Timeout", "2m"}, rescode.InvalidDeadline, "Request-Timeout"},
		{"POST", "/v1/jobs", `{"template":"t","customer":"c","resources":{"milli_cpu":-1}}`, nil, rescode.OutOfRange, "resources.milli_cpu"},
		{"POST", "/v1/jobs", `{"template":"t","customer":"c","count":-1}`, nil, rescode.OutOfRange, "count"},
		{"GET", "/v1/jobs/" + long, "", nil, rescode.InvalidName, "id"},
		{"PUT", "/v1/templates/t", `{"kind":"request","qos":"batch","deadline_ms":-1}`, nil, rescode.OutOfRange, "deadline_ms"},
		{"PUT", "/v1/templates/t", `{"name":"u","kind":"request","qos":"batch"}`, nil, rescode.InvalidName, "name"},
		{"PUT", "/v1/templates/t", template, []string{"If-Match", "x"}, rescode.OutOfRange, "If-Match"},
		{"DELETE", "/v1/templates/t", "", nil, rescode.OutOfRange, "If-Match"},
		{"PUT", "/v1/customers/c", `{"team":""}`, nil, rescode.InvalidName, "team"},
		{"GET", "/v2", "", nil, rescode.UnsupportedEndpoint, ""},
		{"PATCH", "/v1/jobs", "", nil, rescode.UnsupportedEndpoint, ""},
	}
	fake := apitest.New()
	h := newHandler(fake)
	for _, c := range cases {
		w := serve(h, c.method, c.path, c.body, c.header...)
		assert.Equal(t, api.HTTPStatus(c.code), w.Code, "%v", c)
		assert.Contains(t, w.Body.String(), fmt.Sprintf(`"code":%d`, c.code), "%v", c)
		assert.Contains(t, w.Body.String(), `"outcome":"not_run"`, "%v", c)
		if c.field != "" {
			assert.Contains(t, w.Body.String(), fmt.Sprintf(`"field":%q`, c.field), "%v", c)
		}
	}
	assert.Empty(t, fake.Requests)
	assert.Empty(t, fake.JobInputs)
}

// Guards against an error of the service, possibly wrapped, that loses its result
// code or field, and against an error without a code that is reported as not run.
func TestServiceErrors(t *testing.T) {
	fake := apitest.New()
	h := newHandler(fake)
	for err, want := range map[error]string{
		rescode.FieldErrorf(rescode.UnknownTemplate, "template", "t is unknown"):                `{"code":1003,"message":"t is unknown","field":"template","outcome":"not_run"}`,
		fmt.Errorf("admission: %w", rescode.Errorf(rescode.Overloaded, "4096 requests queued")): `{"code":2001,"message":"4096 requests queued","outcome":"not_run"}`,
		errors.New("plain"): `{"code":5001,"message":"plain","outcome":"unknown"}`,
	} {
		fake.AnswerErr = err
		w := serve(h, "POST", "/v1/requests", `{"template":"t","customer":"c"}`)
		assert.Equal(t, api.HTTPStatus(rescode.Of(err)), w.Code)
		assert.JSONEq(t, want, w.Body.String())
	}
}

// Guards against a panic in one handler that ends the process.
func TestPanicAnswers(t *testing.T) {
	fake := apitest.New()
	fake.Panic = true
	h := newHandler(fake)
	w := serve(h, "POST", "/v1/requests", `{"template":"t","customer":"c"}`)
	assert.Equal(t, 500, w.Code)
	assert.Contains(t, w.Body.String(), `"code":5001`)
	assert.Contains(t, w.Body.String(), `"outcome":"unknown"`)
	fake.Panic = false
	assert.Equal(t, 200, serve(h, "POST", "/v1/requests", `{"template":"t","customer":"c"}`).Code)
}

// Guards against an edit that overwrites a version that the operator has not read.
func TestVersionPrecondition(t *testing.T) {
	h := newHandler(apitest.New())
	require.Equal(t, 201, serve(h, "PUT", "/v1/templates/t", template).Code)
	require.Equal(t, 200, serve(h, "PUT", "/v1/templates/t", template, "If-Match", `"1"`).Code)
	for _, method := range []string{"PUT", "DELETE"} {
		w := serve(h, method, "/v1/templates/t", template, "If-Match", "1")
		assert.Equal(t, 409, w.Code)
		assert.Contains(t, w.Body.String(), `"code":1008`)
		assert.Contains(t, w.Body.String(), `"current":{"name":"t","version":2`)
	}
	assert.Equal(t, 204, serve(h, "DELETE", "/v1/templates/t", "", "If-Match", "2").Code)
	assert.Equal(t, `{"templates":[]}`, serve(h, "GET", "/v1/templates", "").Body.String())
}

// Guards against a caller that keeps a connection open with an incomplete body, and
// against a read timeout that cancels a request while it runs.
func TestReadTimeout(t *testing.T) {
	// Stalls of the machine shorter than this do not change the result.
	const timeout = time.Second
	fake := apitest.New()
	var cancelled error
	fake.Before = func(ctx context.Context) {
		select {
		case <-ctx.Done():
			cancelled = ctx.Err()
		case <-time.After(2 * timeout):
		}
	}
	server := httptest.NewUnstartedServer(nil)
	server.Config = api.NewServer(api.NewHandler(fake, api.Limits{MaxBodyBytes: 4096, MaxTimeout: time.Minute}, obs.DiscardLogger()))
	require.NotZero(t, server.Config.ReadTimeout)
	server.Config.ReadTimeout = timeout
	server.Start()
	defer server.Close()

	half, unwritten := io.Pipe()
	defer unwritten.Close()
	response, err := http.Post(server.URL+"/v1/requests", "application/json", half)
	require.NoError(t, err)
	response.Body.Close()
	assert.Equal(t, 400, response.StatusCode)
	assert.Empty(t, fake.Requests)

	response, err = http.Post(server.URL+"/v1/requests", "application/json", strings.NewReader(`{"template":"t","customer":"c"}`))
	require.NoError(t, err)
	response.Body.Close()
	assert.Equal(t, 200, response.StatusCode)
	assert.NoError(t, cancelled)
}

// Guards against an entry that reports itself ready, and so is sent load, when it
// is not, and against missing health, metrics and status endpoints.
func TestOperationalEndpoints(t *testing.T) {
	fake := apitest.New()
	fake.NotReady = true
	h := newHandler(fake)
	assert.Equal(t, 503, serve(h, "GET", "/readyz", "").Code)
	assert.Equal(t, 200, serve(h, "GET", "/healthz", "").Code)
	assert.Contains(t, serve(h, "GET", "/debug/vars", "").Body.String(), "memstats")
	assert.Contains(t, serve(h, "GET", "/v1/status", "").Body.String(), `"ready":false`)
}

// Guards against a body that reaches the service although it violates the limits
// of the API. The bodies are arbitrary bytes.
func FuzzRequestBody(f *testing.F) {
	f.Add(`{"template":"t","customer":"c","parameters":{"a":"1"}}`)
	f.Add(`{"id":"x","template":"t","customer":"c"}{}`)
	f.Fuzz(func(t *testing.T, body string) {
		fake := apitest.New()
		w := serve(newHandler(fake), "POST", "/v1/requests", body)
		if w.Code != 200 {
			require.Empty(t, fake.Requests)
			require.Contains(t, w.Body.String(), `"outcome":"not_run"`)
			return
		}
		require.Len(t, fake.Requests, 1)
		in := fake.Requests[0]
		require.NotEmpty(t, in.Template)
		require.LessOrEqual(t, len(in.ID), api.MaxNameLength)
		require.NotContains(t, in.Template+in.Customer+in.ID, "/")
	})
}
