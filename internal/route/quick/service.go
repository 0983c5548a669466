package quick

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/back"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/route/claim"
	"github.com/lentildeck/lentildeck/internal/route/pool"
)

const (
	// maxAttempts bounds the dispatches of one idempotent request.
	maxAttempts = 3
	// retryAfter is the delay sent to refused callers.
	retryAfter = time.Second
	// recordTimeout bounds the recording of a claim's outcome; the caller's response waits for it.
	recordTimeout = 2 * time.Second
)

// Request is a caller's request; Key is its idempotency key and Path is on the backend server.
type Request struct {
	ID          string
	Key         string
	Path        string
	ContentType string
	Body        []byte
	Class       queue.Class
	Idempotent  bool
	// AttemptTimeout bounds one dispatch, so that an attempt on a dead connection leaves time for a retry.
	AttemptTimeout time.Duration
}

// Claimer stores idempotency records, so that a non-idempotent request is dispatched at most once.
type Claimer interface {
	Acquire(ctx context.Context, key string, now time.Time) (claim.Record, bool, error)
	Finish(ctx context.Context, key string, status int, contentType string, body []byte) error
	Release(ctx context.Context, key string) error
}

// Service routes quick requests to backend servers and returns their answers.
type Service struct {
	pool    *pool.Pool
	caller  back.Caller
	claims  Claimer
	retries *RetryBudget
	log     *event.Log
	now     func() time.Time
}

// New returns a service with a full retry budget.
func New(servers *pool.Pool, caller back.Caller, claims Claimer, log *event.Log, now func() time.Time) *Service {
	return &Service{pool: servers, caller: caller, claims: claims, retries: NewRetryBudget(), log: log, now: now}
}

// Serve returns the complete answer, a NotRunError, an UnknownError if the request may have run, or an AnsweredBeforeError.
func (s *Service) Serve(ctx context.Context, request Request) (back.Answer, error) {
	s.retries.Deposit()
	if request.Idempotent {
		return s.serveIdempotent(ctx, request)
	}
	return s.serveNonIdempotent(ctx, request)
}

// serveIdempotent dispatches an idempotent request until it is answered or the attempts, the budget or the time run out.
func (s *Service) serveIdempotent(ctx context.Context, request Request) (back.Answer, error) {
	var avoid *pool.Server
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		answer, server, err := s.dispatch(ctx, request, avoid)
		if err == nil {
			return answer, nil
		}
		var lost *back.LostError
		mayHaveRun = mayHaveRun || errors.As(err, &lost)
		if server == nil || attempt == maxAttempts || ctx.Err() != nil || !s.retries.TryWithdraw() {
			return answer, finalError(err, mayHaveRun)
		}
		avoid = server
	}
}

// serveNonIdempotent claims the key and dispatches the request; it retries only if the request certainly did not run.
func (s *Service) serveNonIdempotent(ctx context.Context, request Request) (back.Answer, error) {
	earlier, acquired, err := s.claims.Acquire(ctx, request.Key, s.now())
	if err != nil {
		return back.Answer{}, &NotRunError{Code: "claim_unavailable", Cause: "no claim can be recorded now: " + err.Error(), RetryAfter: retryAfter}
	}
	if !acquired {
		return recordedAnswer(earlier)
	}
	var avoid *pool.Server
	for attempt := 1; ; attempt++ {
		answer, server, err := s.dispatch(ctx, request, avoid)
		var lost *back.LostError
		switch {
		case err == nil:
			s.recordAnswer(request, answer)
			return answer, nil
		case errors.As(err, &lost):
			return answer, &UnknownError{Cause: err.Error()}
		case server == nil || attempt == maxAttempts || ctx.Err() != nil:
			s.releaseClaim(request)
			return answer, finalError(err, false)
		}
		avoid = server
	}
}

func recordedAnswer(earlier claim.Record) (back.Answer, error) {
	if earlier.State != claim.Answered {
		return back.Answer{}, &UnknownError{Cause: "the same idempotency key was claimed by " + earlier.Instance + " and no answer is recorded"}
	}
	if earlier.BodyDropped {
		return back.Answer{}, &AnsweredBeforeError{Status: earlier.Status}
	}
	return back.Answer{Status: earlier.Status, ContentType: earlier.ContentType, Body: earlier.Body}, nil
}

func (s *Service) recordAnswer(request Request, answer back.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if err := s.claims.Finish(ctx, request.Key, answer.Status, answer.ContentType, answer.Body); err != nil {
		s.log.Emit(event.ClaimNotRecorded, event.Fields{"request": request.ID, "error": err.Error()})
	}
}

func (s *Service) releaseClaim(request Request) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if err := s.claims.Release(ctx, request.Key); err != nil {
		s.log.Emit(event.ClaimNotRecorded, event.Fields{"request": request.ID, "error": err.Error()})
	}
}

// dispatch makes one attempt; the server is nil if none was available.
func (s *Service) dispatch(ctx context.Context, request Request, avoid *pool.Server) (back.Answer, *pool.Server, error) {
	server, err := s.pool.Acquire(ctx, request.Class, avoid, s.now())
	if err != nil {
		return back.Answer{}, nil, err
	}
	s.log.Emit(event.Routed, event.Fields{"request": request.ID, "server": server.Name, "why": "less loaded of two random servers"})
	attemptCtx, cancel := context.WithTimeout(ctx, request.AttemptTimeout)
	defer cancel()
	answer, err := s.caller.Call(attemptCtx, server.Address, back.Request{
		ID: request.ID, Path: request.Path, ContentType: request.ContentType, Body: request.Body,
	})
	s.pool.Release(server, resultOf(err), s.now())
	return answer, server, err
}

func resultOf(err error) pool.Result {
	var notRun *back.NotRunError
	switch {
	case err == nil:
		return pool.Answered
	case errors.As(err, &notRun) && notRun.Leaving:
		return pool.Leaving
	case errors.As(err, &notRun):
		return pool.Refused
	default:
		return pool.Lost
	}
}

func finalError(err error, mayHaveRun bool) error {
	if mayHaveRun {
		return &UnknownError{Cause: err.Error()}
	}
	code := "no_server"
	var full *pool.QueueFullError
	if errors.As(err, &full) {
		code = "overloaded"
	}
	return &NotRunError{Code: code, Cause: err.Error(), RetryAfter: retryAfter}
}

// NotRunError reports that the request certainly had no effect.
type NotRunError struct {
	Code       string
	Cause      string
	RetryAfter time.Duration
}

// Error gives the cause.
func (e *NotRunError) Error() string { return "not run: " + e.Cause }

// UnknownError reports that the request may have run.
type UnknownError struct{ Cause string }

// Error gives the cause.
func (e *UnknownError) Error() string { return "unknown, may have run: " + e.Cause }

// AnsweredBeforeError reports that the request ran before and that its answer was too large to record.
type AnsweredBeforeError struct{ Status int }

// Error gives the status of the answer.
func (e *AnsweredBeforeError) Error() string {
	return fmt.Sprintf("the request ran before and was answered with status %d; the answer was too large to keep", e.Status)
}
