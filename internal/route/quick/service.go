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
	// retryAfter is what a refused caller is told to wait.
	retryAfter = time.Second
	// recordTimeout bounds the recording of an answer; the caller does not wait longer for it.
	recordTimeout = 2 * time.Second
)

// Request is a caller's request.
type Request struct {
	ID          string
	Key         string
	Path        string
	ContentType string
	Body        []byte
	Class       queue.Class
	Idempotent  bool
	// AttemptTimeout bounds one dispatch, so that a silent connection leaves time for another.
	AttemptTimeout time.Duration
}

// Claimer makes at most one dispatch of a non-idempotent request possible.
type Claimer interface {
	Take(ctx context.Context, key string, now time.Time) (claim.Record, bool, error)
	Finish(ctx context.Context, key string, status int, contentType string, body []byte) error
	GiveBack(ctx context.Context, key string) error
}

// Service answers quick requests.
type Service struct {
	pool    *pool.Pool
	caller  back.Caller
	claims  Claimer
	retries *RetryBudget
	log     *event.Log
	now     func() time.Time
}

// New returns a service.
func New(servers *pool.Pool, caller back.Caller, claims Claimer, log *event.Log, now func() time.Time) *Service {
	return &Service{pool: servers, caller: caller, claims: claims, retries: NewRetryBudget(), log: log, now: now}
}

// Serve returns the whole answer, a NotRunError, or an UnknownError if the request may have run.
func (s *Service) Serve(ctx context.Context, request Request) (back.Answer, error) {
	s.retries.Earn()
	if request.Idempotent {
		return s.repeat(ctx, request)
	}
	return s.once(ctx, request)
}

// repeat dispatches an idempotent request until it is answered or the attempts, the budget or the time run out.
func (s *Service) repeat(ctx context.Context, request Request) (back.Answer, error) {
	var avoid *pool.Server
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		answer, server, err := s.dispatch(ctx, request, avoid)
		if err == nil {
			return answer, nil
		}
		var lost *back.LostError
		mayHaveRun = mayHaveRun || errors.As(err, &lost)
		if server == nil || attempt == maxAttempts || ctx.Err() != nil || !s.retries.Spend() {
			return answer, verdict(err, mayHaveRun)
		}
		avoid = server
	}
}

// once claims the key and dispatches at most one time; only a dispatch that surely did not run is repeated.
func (s *Service) once(ctx context.Context, request Request) (back.Answer, error) {
	earlier, taken, err := s.claims.Take(ctx, request.Key, s.now())
	if err != nil {
		return back.Answer{}, &NotRunError{Code: "claim_unavailable", Cause: "no claim can be recorded now: " + err.Error(), RetryAfter: retryAfter}
	}
	if !taken {
		return recorded(earlier)
	}
	var avoid *pool.Server
	for attempt := 1; ; attempt++ {
		answer, server, err := s.dispatch(ctx, request, avoid)
		var lost *back.LostError
		switch {
		case err == nil:
			s.record(request, answer)
			return answer, nil
		case errors.As(err, &lost):
			return answer, &UnknownError{Cause: err.Error()}
		case server == nil || attempt == maxAttempts || ctx.Err() != nil:
			s.giveBack(request)
			return answer, verdict(err, false)
		}
		avoid = server
	}
}

func recorded(earlier claim.Record) (back.Answer, error) {
	if earlier.State != claim.Answered {
		return back.Answer{}, &UnknownError{Cause: "the same idempotency key was claimed by " + earlier.Instance + " and no answer is recorded"}
	}
	if earlier.BodyDropped {
		return back.Answer{}, &DoneError{Status: earlier.Status}
	}
	return back.Answer{Status: earlier.Status, ContentType: earlier.ContentType, Body: earlier.Body}, nil
}

func (s *Service) record(request Request, answer back.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if err := s.claims.Finish(ctx, request.Key, answer.Status, answer.ContentType, answer.Body); err != nil {
		s.log.Emit(event.ClaimNotRecorded, event.Fields{"request": request.ID, "error": err.Error()})
	}
}

func (s *Service) giveBack(request Request) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if err := s.claims.GiveBack(ctx, request.Key); err != nil {
		s.log.Emit(event.ClaimNotRecorded, event.Fields{"request": request.ID, "error": err.Error()})
	}
}

// dispatch makes one attempt; the server is nil if none could be had.
func (s *Service) dispatch(ctx context.Context, request Request, avoid *pool.Server) (back.Answer, *pool.Server, error) {
	server, err := s.pool.Acquire(ctx, request.Class, avoid, s.now())
	if err != nil {
		return back.Answer{}, nil, err
	}
	s.log.Emit(event.Routed, event.Fields{"request": request.ID, "server": server.Name, "why": "less loaded of two"})
	attempt, cancel := context.WithTimeout(ctx, request.AttemptTimeout)
	defer cancel()
	answer, err := s.caller.Call(attempt, server.Address, back.Request{
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
		return pool.Left
	case errors.As(err, &notRun):
		return pool.Refused
	default:
		return pool.Lost
	}
}

func verdict(err error, mayHaveRun bool) error {
	if mayHaveRun {
		return &UnknownError{Cause: err.Error()}
	}
	code := "no_server"
	var full *pool.FullError
	if errors.As(err, &full) {
		code = "overloaded"
	}
	return &NotRunError{Code: code, Cause: err.Error(), RetryAfter: retryAfter}
}

// NotRunError says that the request surely had no effect.
type NotRunError struct {
	Code       string
	Cause      string
	RetryAfter time.Duration
}

// Error gives the cause.
func (e *NotRunError) Error() string { return "not run: " + e.Cause }

// UnknownError says that the request may have run.
type UnknownError struct{ Cause string }

// Error gives the cause.
func (e *UnknownError) Error() string { return "unknown, may have run: " + e.Cause }

// DoneError says that the request ran before and that its answer was too large to keep.
type DoneError struct{ Status int }

// Error gives the status of the answer.
func (e *DoneError) Error() string {
	return fmt.Sprintf("the request ran before and was answered with status %d; the answer was too large to keep", e.Status)
}
