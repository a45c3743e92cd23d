package api

import (
	"net/http"

	"vanillalock.example/vanillalock/internal/rescode"
)

// statusOverrides holds the result codes whose HTTP status differs from that of
// their range.
var statusOverrides = map[rescode.Code]int{
	rescode.BodyTooLarge:        http.StatusRequestEntityTooLarge,
	rescode.VersionConflict:     http.StatusConflict,
	rescode.KeyReused:           http.StatusConflict,
	rescode.RequestIDConflict:   http.StatusConflict,
	rescode.UnknownTemplate:     http.StatusNotFound,
	rescode.UnknownCustomer:     http.StatusNotFound,
	rescode.NotFound:            http.StatusNotFound,
	rescode.UnsupportedEndpoint: http.StatusNotFound,
	rescode.Overloaded:          http.StatusTooManyRequests,
	rescode.QuotaExceeded:       http.StatusTooManyRequests,
	rescode.CancelledNotRun:     http.StatusConflict,
	rescode.StillRunning:        http.StatusAccepted,
	rescode.RecordExpired:       http.StatusGone,
	rescode.CannotRun:           http.StatusUnprocessableEntity,
	rescode.Cancelled:           http.StatusConflict,
}

// HTTPStatus returns the HTTP status of a response with result code c:
//
//   - 200: success
//   - 4xx: the caller must change something
//   - 500: internal error
//   - 502: the work ran and failed
//   - 503: the work is proven not run and can be retried
//   - 504: the outcome is unknown
func HTTPStatus(c rescode.Code) int {
	if s, ok := statusOverrides[c]; ok {
		return s
	}
	switch {
	case c == rescode.OK:
		return http.StatusOK
	case c < 2000:
		return http.StatusBadRequest
	case c < 3000:
		return http.StatusServiceUnavailable
	case c < 4000:
		return http.StatusGatewayTimeout
	case c < 5000:
		return http.StatusBadGateway
	default:
		return http.StatusInternalServerError
	}
}
