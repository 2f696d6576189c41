package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/amaranthfold/amaranthfold/core/retry"
	"github.com/amaranthfold/amaranthfold/core/route"
	"github.com/amaranthfold/amaranthfold/internal/dispatch"
	"github.com/amaranthfold/amaranthfold/internal/engine"
)

// OutcomeHeader states in an error response whether the request has run: "not run",
// "ran" or "unknown".
const OutcomeHeader = "X-Amaranth-Outcome"

// Error codes of failures at targets.
const (
	codeRefusedByTarget = "refused_by_target"
	codeTargetFailed    = "target_failed"
)

// codeRequestTooOld is the error code of a request that is so old that the claim of an
// earlier attempt may have been evicted.
const codeRequestTooOld = "request_too_old"

var (
	errKeyWithdrawn = errors.New("the key has been withdrawn")
	errConfigStale  = errors.New("this instance has lost touch with the configuration")
	errStopping     = errors.New("the instance is stopping")
	errClaimExpired = errors.New("the request is older than the claims that are remembered; it may have run")
	errStreamMoved  = errors.New("the target leaves and its work goes on elsewhere")
)

// ErrorResponse is the body of an error response, in the format of the OpenAI API.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes one failure.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// failure is an error with its HTTP status, code and outcome.
type failure struct {
	status  int
	code    string
	outcome retry.Outcome
	message string

	retryAfter time.Duration // estimated time until a retry may succeed; zero: unknown
}

func (f *failure) Error() string { return f.message }

// refuse returns the failure of a request that has not run.
func refuse(status int, code, message string) *failure {
	return &failure{status: status, code: code, outcome: retry.NotRun, message: message}
}

// asFailure converts the error that ended a request into a failure. The failure's outcome
// is that of the last attempt; requestAttempts.failure replaces it by the outcome of all
// attempts.
func asFailure(err error) *failure {
	var f *failure
	var attempt *engine.AttemptError
	var refused *dispatch.RefusedError
	switch {
	case errors.As(err, &f):
		return f
	case errors.Is(err, errKeyWithdrawn):
		return &failure{status: http.StatusUnauthorized, code: "key_withdrawn", outcome: retry.Unknown, message: errKeyWithdrawn.Error()}
	case errors.Is(err, errConfigStale):
		return &failure{status: http.StatusServiceUnavailable, code: "not_fresh", outcome: retry.Unknown, message: errConfigStale.Error()}
	case errors.Is(err, errStopping):
		return &failure{status: http.StatusServiceUnavailable, code: "instance_stopping", outcome: retry.Unknown, message: errStopping.Error()}
	case errors.As(err, &refused):
		overloaded := refuse(http.StatusServiceUnavailable, "overloaded", err.Error())
		overloaded.retryAfter = refused.RetryAfter
		return overloaded
	case errors.Is(err, route.ErrNoTarget):
		return refuse(http.StatusServiceUnavailable, "overloaded", err.Error())
	case errors.As(err, &attempt) && attempt.Status >= 400 && attempt.Status < 500:
		return &failure{status: attempt.Status, code: codeRefusedByTarget, outcome: attempt.Outcome, message: attempt.Err.Error()}
	case errors.As(err, &attempt):
		return &failure{status: http.StatusBadGateway, code: codeTargetFailed, outcome: attempt.Outcome, message: "the target failed: " + attempt.Outcome.String()}
	case errors.Is(err, errClaimUnconfirmed):
		return refuse(http.StatusServiceUnavailable, "log_unavailable", err.Error())
	case errors.Is(err, errClaimExpired):
		return &failure{status: http.StatusConflict, code: codeRequestTooOld, outcome: retry.Unknown, message: err.Error()}
	case errors.Is(err, context.DeadlineExceeded):
		return refuse(http.StatusGatewayTimeout, "deadline_exceeded", "the request's deadline has passed")
	default:
		return refuse(http.StatusServiceUnavailable, "not_admitted", err.Error())
	}
}

// withinStream returns the failure of a response that has begun. A target that refuses to go on with
// it does not answer the caller's request: its text is not for the caller.
func (f *failure) withinStream() *failure {
	if f.code != codeRefusedByTarget {
		return f
	}
	return &failure{status: http.StatusBadGateway, code: codeTargetFailed, outcome: f.outcome, message: "a target refused to go on with the stream"}
}

// body returns the response body of the failure.
func (f *failure) body() []byte {
	kind := "server_error"
	if f.status < 500 {
		kind = "invalid_request_error"
	}
	data, err := json.Marshal(ErrorResponse{ErrorDetail{Message: f.message, Type: kind, Code: f.code, Outcome: f.outcome.String()}})
	if err != nil {
		return []byte(`{"error":{}}`)
	}
	return data
}

// write writes the failure as a response.
func (f *failure) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(OutcomeHeader, f.outcome.String())
	if f.status == http.StatusServiceUnavailable || f.status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", retryAfterSeconds(f.retryAfter))
	}
	if f.status == http.StatusUnauthorized {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(f.status)
	_, _ = w.Write(f.body()) // the caller may have disconnected
}
