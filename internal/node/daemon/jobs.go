package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"regexp"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/place/engine"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/state/config"
	"github.com/lentildeck/lentildeck/internal/state/ledger"
	"github.com/lentildeck/lentildeck/internal/state/store"
)

const (
	// ledgerTimeout bounds one operation on the ledger for a caller.
	ledgerTimeout = 4 * time.Second
	// maxMembers bounds the number of a gang's members.
	maxMembers = 1024
	// maxPayloadBytes bounds the payload that is passed to the workers.
	maxPayloadBytes = 8 << 10
)

// jobNamePattern matches valid names of jobs.
var jobNamePattern = regexp.MustCompile(`^[A-Za-z0-9_][A-Za-z0-9_.:-]{0,127}$`)

// checker checks whether a job could ever run with the active configuration; it keeps the engine of the last revision.
type checker struct {
	conf     *config.Holder
	policy   engine.Policy
	mu       sync.Mutex
	revision int64
	engine   *engine.Engine
}

func (k *checker) check(spec *queue.Spec) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	doc := k.conf.Active().Document
	if doc == nil {
		return &NoConfigError{}
	}
	if k.engine == nil || k.revision != doc.Revision {
		e, err := doc.Engine(k.policy)
		if err != nil {
			return err
		}
		k.engine, k.revision = e, doc.Revision
	}
	return k.engine.Check(spec)
}

// NoConfigError reports that the instance has no configuration yet.
type NoConfigError struct{}

// Error asks the caller to repeat the request.
func (e *NoConfigError) Error() string {
	return "this instance has no configuration yet; repeat the request in a moment"
}

// submitJob records a job in the ledger, from which any data centre that the job may use can take it.
func (d *Daemon) submitJob(c *fiber.Ctx) error {
	var spec queue.Spec
	decoder := json.NewDecoder(bytes.NewReader(c.Body()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&spec); err != nil {
		return writeRefusal(c, fiber.StatusBadRequest, "bad_job", err.Error(), 0)
	}
	if err := d.checkJob(&spec); err != nil {
		d.log.Emit(event.Refused, event.Fields{"job": spec.Job, "error": err.Error()})
		return writeRefusal(c, fiber.StatusUnprocessableEntity, "refused", err.Error(), 0)
	}
	record := ledger.Record{Spec: spec, Submitted: d.now(), Held: d.conf.Active().Document.Manual(spec.Workspace)}
	ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
	defer cancel()
	if err := d.ledger.Submit(ctx, record); err != nil {
		return d.writeJobError(c, err)
	}
	d.meters.Count("jobsSubmitted")
	d.log.Emit(event.Submitted, event.Fields{"job": spec.Job, "workspace": spec.Workspace, "shape": spec.Shape.String(), "held": record.Held})
	return c.Status(fiber.StatusAccepted).JSON(record)
}

func (d *Daemon) checkJob(spec *queue.Spec) error {
	switch {
	case !jobNamePattern.MatchString(spec.Job):
		return &NameError{Name: spec.Job}
	case spec.Members > maxMembers:
		return &LimitError{Field: "members", Limit: maxMembers}
	case len(spec.Payload) > maxPayloadBytes:
		return &LimitError{Field: "payload", Limit: maxPayloadBytes}
	}
	return d.checker.check(spec)
}

// NameError reports that the name of a job is not valid.
type NameError struct{ Name string }

// Error describes the valid names.
func (e *NameError) Error() string {
	return "job: the name must have 1 to 128 letters, digits or _ . : -, and start with a letter, digit or _"
}

// writeJobError responds to an error of the ledger.
func (d *Daemon) writeJobError(c *fiber.Ctx, err error) error {
	var exists *ledger.ExistsError
	var missing *ledger.MissingError
	var ended *ledger.EndedError
	var notHeld *ledger.NotHeldError
	var unknown *store.UnknownError
	switch {
	case errors.As(err, &exists):
		return writeProblem(c, fiber.StatusConflict, "exists", err.Error(), false)
	case errors.As(err, &missing):
		return writeProblem(c, fiber.StatusNotFound, "no_such_job", err.Error(), true)
	case errors.As(err, &ended):
		return writeProblem(c, fiber.StatusConflict, "ended", err.Error(), true)
	case errors.As(err, &notHeld):
		return writeProblem(c, fiber.StatusConflict, "not_held", err.Error(), true)
	case errors.As(err, &unknown):
		return writeProblem(c, fiber.StatusGatewayTimeout, "unknown", err.Error()+"; ask for the job by name before repeating", false)
	default:
		return writeRefusal(c, fiber.StatusServiceUnavailable, "store_unavailable", err.Error(), time.Second)
	}
}

// showJob returns the job's record, or this instance's copy of it if the store does not respond.
func (d *Daemon) showJob(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
	defer cancel()
	id := c.Params("job")
	record, ok, err := d.ledger.Reload(ctx, id)
	if err != nil {
		record, ok = d.ledger.Get(id)
	}
	if !ok && err != nil {
		return d.writeJobError(c, err)
	}
	if !ok {
		return writeProblem(c, fiber.StatusNotFound, "no_such_job", (&ledger.MissingError{Job: id}).Error(), true)
	}
	return c.JSON(record)
}

// cancelJob cancels a job in the ledger.
func (d *Daemon) cancelJob(c *fiber.Ctx) error {
	ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
	defer cancel()
	if err := d.ledger.Cancel(ctx, c.Params("job")); err != nil {
		return d.writeJobError(c, err)
	}
	return c.JSON(Message{Message: "cancelled"})
}

// Message is the response body of a command that returns only a text.
type Message struct {
	Message string `json:"message"`
}
