// Package rescode defines the numbered result codes that callers, operators
// and the system's own processes exchange.
//
// The range of a code determines the outcome that it states; see Code.Outcome. The
// table for users is docs/errors.md; a test checks that it matches this package.
package rescode

import (
	"errors"
	"fmt"
)

// Code is a numbered result code. Numbers are stable: a code is never reused.
type Code uint32

// Outcome states what is known about the execution of a request or job.
type Outcome uint8

// Outcomes of a request or job.
const (
	// Unknown means the work may or may not have run.
	Unknown Outcome = iota
	// Done means the work ran and its answer is known.
	Done
	// NotRun means that the work is proven not to have run and never will.
	NotRun
)

// Result codes by range: 0 is success; 1xxx means rejected input, 2xxx proven not
// run, 3xxx outcome unknown, 4xxx run and failed, 5xxx an internal error.
const (
	OK Code = 0

	MalformedBody       Code = 1001
	BodyTooLarge        Code = 1002
	UnknownTemplate     Code = 1003
	MissingParameter    Code = 1004
	InvalidName         Code = 1005
	OutOfRange          Code = 1006
	UnknownCustomer     Code = 1007
	VersionConflict     Code = 1008
	NotFound            Code = 1009
	KeyRequired         Code = 1010
	InvalidDeadline     Code = 1011
	KeyReused           Code = 1012
	UnknownParameter    Code = 1013
	WrongTemplateKind   Code = 1014
	RequestIDConflict   Code = 1015
	UnsupportedEndpoint Code = 1016

	Overloaded        Code = 2001
	DeadlineUnmet     Code = 2002
	QuotaExceeded     Code = 2003
	NoUpstream        Code = 2004
	Leaving           Code = 2005
	StoreUnavailable  Code = 2006
	RetryBudgetSpent  Code = 2007
	SlotsFull         Code = 2008
	CapacityExceeded  Code = 2009
	Tombstoned        Code = 2010
	CancelledNotRun   Code = 2011
	Quarantined       Code = 2012
	NoConfiguration   Code = 2013
	ConnectionsFull   Code = 2014
	PermitUnavailable Code = 2015

	AnswerLost     Code = 3001
	AgentLost      Code = 3002
	StoreUncertain Code = 3003
	RecordExpired  Code = 3004
	StillRunning   Code = 3005
	RepeatUnproven Code = 3006

	UpstreamFailed Code = 4001
	CannotRun      Code = 4002
	TaskFailed     Code = 4003
	Cancelled      Code = 4004

	Internal        Code = 5001
	SessionLost     Code = 5002
	StaleGeneration Code = 5003
	NotOwner        Code = 5004
	InvalidSettings Code = 5005
)

// texts holds the text of every defined code.
var texts = map[Code]string{
	OK:                  "success",
	MalformedBody:       "the body is not valid JSON for this call",
	BodyTooLarge:        "the body exceeds the size limit",
	UnknownTemplate:     "the template does not exist",
	MissingParameter:    "a required parameter is missing",
	InvalidName:         "a name or key has invalid characters or length",
	OutOfRange:          "a value is out of range",
	UnknownCustomer:     "the customer does not exist",
	VersionConflict:     "the object has another version",
	NotFound:            "the object does not exist",
	KeyRequired:         "a non-idempotent template requires an idempotency key",
	InvalidDeadline:     "the deadline is malformed or in the past",
	KeyReused:           "the idempotency key belongs to a different request",
	UnknownParameter:    "the template does not declare this parameter",
	WrongTemplateKind:   "the template is of another kind than the call expects",
	RequestIDConflict:   "the request id belongs to a different request",
	UnsupportedEndpoint: "the path or method does not exist",
	Overloaded:          "the queue is full",
	DeadlineUnmet:       "the deadline cannot be met",
	QuotaExceeded:       "the quota of the customer or team is used up",
	NoUpstream:          "no upstream is available",
	Leaving:             "the process is shutting down",
	StoreUnavailable:    "the key-value service is unavailable",
	RetryBudgetSpent:    "the retry budget is used up",
	SlotsFull:           "all slots and the queue of the upstream are full",
	CapacityExceeded:    "the VM has no capacity for the task",
	Tombstoned:          "the request or attempt is tombstoned",
	CancelledNotRun:     "cancelled before the start",
	Quarantined:         "the worker is quarantined",
	NoConfiguration:     "no configuration has been loaded yet",
	ConnectionsFull:     "all connections of the upstream are in use",
	PermitUnavailable:   "no permit is available for the shard",
	AnswerLost:          "the answer was lost",
	AgentLost:           "the agent that held the record is gone",
	StoreUncertain:      "the key-value service may have applied the change",
	RecordExpired:       "the record is no longer retained",
	StillRunning:        "the request is still running",
	RepeatUnproven:      "this call did not run it, but an earlier one may have",
	UpstreamFailed:      "the upstream ran the request and failed",
	CannotRun:           "no VM can ever run the job",
	TaskFailed:          "the task failed",
	Cancelled:           "cancelled while running",
	Internal:            "internal error",
	SessionLost:         "the session was lost",
	StaleGeneration:     "the shard generation is stale",
	NotOwner:            "this entry does not own the shard",
	InvalidSettings:     "the settings are invalid",
}

// All returns every defined code with its text.
func All() map[Code]string {
	out := make(map[Code]string, len(texts))
	for c, t := range texts {
		out[c] = t
	}
	return out
}

// String returns the text of the code.
func (c Code) String() string {
	if t, ok := texts[c]; ok {
		return t
	}
	return fmt.Sprintf("result code %d", uint32(c))
}

// Outcome returns what the code states about the execution. Rejected input
// (1xxx) has not run; internal errors (5xxx) are Unknown.
func (c Code) Outcome() Outcome {
	switch {
	case c == OK, c >= 4000 && c < 5000:
		return Done
	case c >= 1000 && c < 3000:
		return NotRun
	default:
		return Unknown
	}
}

// String returns the wire name of the outcome.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case NotRun:
		return "not_run"
	default:
		return "unknown"
	}
}

// Error is an error with a result code. Field is the name of the invalid input
// field, if any.
type Error struct {
	Code  Code
	Field string
	Err   error
}

// Errorf returns an Error with the given code and a formatted detail. The
// format may wrap an error with %w.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Err: fmt.Errorf(format, args...)}
}

// FieldErrorf is Errorf for a named input field.
func FieldErrorf(code Code, field, format string, args ...any) *Error {
	return &Error{Code: code, Field: field, Err: fmt.Errorf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string {
	detail := e.Code.String()
	if e.Err != nil {
		detail = e.Err.Error()
	}
	if e.Field != "" {
		return fmt.Sprintf("%s: %s (code %d)", e.Field, detail, e.Code)
	}
	return fmt.Sprintf("%s (code %d)", detail, e.Code)
}

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the code of err: OK for nil, Internal when err carries no code.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	var coded *Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return Internal
}
