package api

import (
	"net/http"

	"vanillalock.example/vanillalock/internal/rescode"
)

// statuses holds the codes whose HTTP status differs from that of their range.
var statuses = map[rescode.Code]int{
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

// HTTPStatus returns the status of a response with the code: 200 success, 4xx
// the caller must change something, 503 proven not run and worth retrying, 504
// unknown, 502 ran and failed, 500 internal.
func HTTPStatus(c rescode.Code) int {
	if s, ok := statuses[c]; ok {
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
