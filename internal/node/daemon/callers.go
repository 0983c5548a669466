package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"
	"github.com/lentildeck/lentildeck/internal/edge/limit"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/route/quick"
	"github.com/valyala/fasthttp"
)

// The headers of callers' requests.
const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerIdempotent     = "X-Idempotent"
	headerClass          = "X-Class"
)

const (
	// readTimeout bounds the reading of a request, so that slow callers don't occupy connections for long.
	readTimeout = 10 * time.Second
	// idleTimeout is how long an unused connection of a caller stays open.
	idleTimeout = 60 * time.Second
	// maxConnections bounds the concurrent connections of callers.
	maxConnections = 4096
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 16 << 10
	// writeTimeout bounds the time in which a client reads a response, of up to the backend servers' largest; a response used to be held
	// for a client that never read it.
	writeTimeout = 60 * time.Second
	// bodyCopies is how often a body is in memory: as received, as a copy that outlives the request, and in the call of a backend server.
	bodyCopies = 3
	// maxNameLength bounds IDs and names, in bytes.
	maxNameLength = 128
)

// Problem is the response body of every refusal and failure.
type Problem struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// NotRun is true only if the request certainly had no effect.
	NotRun bool `json:"notRun"`
}

// newApp returns an app whose handlers may keep the strings of a request, as claims and job names outlive it.
func newApp(bodyLimit int) *fiber.App {
	return fiber.New(fiber.Config{
		Immutable: true, DisableStartupMessage: true, BodyLimit: bodyLimit, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		Concurrency: maxConnections, ReadBufferSize: maxHeaderBytes, ErrorHandler: handleError,
	})
}

// bound makes the app receive bodies of up to maxBody bytes within the process's limits. It comes before all handlers that use a body.
func (d *Daemon) bound(app *fiber.App, listener string, maxBody int) {
	bounds := &limit.HTTP{
		Guard: d.guard, Listener: listener, MaxBody: func() int { return maxBody }, Copies: bodyCopies, BodyTimeout: readTimeout,
		WriteTimeout: writeTimeout, Decodes: true, Refuse: writeLimitRefusal,
	}
	bounds.Configure(app.Server())
	app.Use(func(c *fiber.Ctx) error {
		var err error
		bounds.Serve(c.Context(), func() { err = c.Next() })
		return err
	})
}

// writeLimitRefusal writes the problem of a request that was refused to keep the process within its limits; it has not run.
func writeLimitRefusal(ctx *fasthttp.RequestCtx, reason limit.Reason) {
	data, err := json.Marshal(Problem{Code: reason.String(), Message: "the body of the request was not accepted: " + reason.String(), NotRun: true})
	if err != nil {
		// A struct of strings can always be encoded.
		panic(err)
	}
	ctx.SetContentType(fiber.MIMEApplicationJSON)
	ctx.SetBody(data)
}

// handleError responds to errors of the HTTP library; client errors occur before the request had any effect.
func handleError(c *fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var known *fiber.Error
	if errors.As(err, &known) {
		status = known.Code
	}
	return writeProblem(c, status, "bad_request", err.Error(), status < fiber.StatusInternalServerError)
}

func writeProblem(c *fiber.Ctx, status int, code, message string, notRun bool) error {
	return c.Status(status).JSON(Problem{Code: code, Message: message, NotRun: notRun})
}

// callerApp serves quick requests and jobs.
func (d *Daemon) callerApp() *fiber.App {
	app := newApp(d.settings.Quick.MaxBodyBytes)
	d.bound(app, "callers", d.settings.Quick.MaxBodyBytes)
	app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok") })
	app.Get("/readyz", d.readiness)
	app.Use(func(c *fiber.Ctx) error {
		if d.stopping.Load() {
			return writeRefusal(c, fiber.StatusServiceUnavailable, "stopping", "this instance is stopping; repeat the request", time.Second)
		}
		return c.Next()
	})
	app.Post("/v1/quick/*", d.serveQuick)
	app.Post("/v1/jobs", d.submitJob)
	app.Get("/v1/jobs/:job", d.showJob)
	app.Delete("/v1/jobs/:job", d.cancelJob)
	return app
}

func (d *Daemon) readiness(c *fiber.Ctx) error {
	if !d.ready.Load() || d.conf.Active().Document == nil {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready")
	}
	return c.SendString("ready")
}

// writeRefusal responds that the request did not run; a positive after is the delay before the caller may retry.
func writeRefusal(c *fiber.Ctx, status int, code, message string, after time.Duration) error {
	if after > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(max(1, int(after.Seconds()))))
	}
	return writeProblem(c, status, code, message, true)
}

// serveQuick routes one request to a backend server and returns its complete answer.
func (d *Daemon) serveQuick(c *fiber.Ctx) error {
	began := d.now()
	request, err := d.quickRequest(c)
	if err != nil {
		return writeRefusal(c, fiber.StatusBadRequest, "bad_request", err.Error(), 0)
	}
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Quick.Timeout.Duration)
	defer cancel()
	answer, err := d.quick.Serve(ctx, request)
	d.meters.Quick.Record(d.now().Sub(began))
	c.Set(headerRequestID, request.ID)
	if err != nil {
		return d.writeQuickError(c, request, err)
	}
	d.meters.Count("quickAnswered")
	c.Set(fiber.HeaderContentType, answer.ContentType)
	return c.Status(answer.Status).Send(answer.Body)
}

func (d *Daemon) quickRequest(c *fiber.Ctx) (quick.Request, error) {
	request := quick.Request{
		ID: c.Get(headerRequestID, uuid.NewString()), Key: c.Get(headerIdempotencyKey), Path: "/" + c.Params("*"),
		ContentType: c.Get(fiber.HeaderContentType), Body: c.Body(), Idempotent: c.Get(headerIdempotent) != "false",
		AttemptTimeout: d.settings.Quick.AttemptTimeout.Duration,
	}
	if len(request.ID) > maxNameLength || len(request.Key) > maxNameLength {
		return request, &LimitError{Field: "request ID or idempotency key", Limit: maxNameLength}
	}
	if request.Key == "" {
		request.Key = request.ID
	}
	if !request.Idempotent {
		request.AttemptTimeout = d.settings.Quick.Timeout.Duration
	}
	class, err := queue.ClassString(c.Get(headerClass, queue.Quick.String()))
	request.Class = class
	return request, err
}

func (d *Daemon) writeQuickError(c *fiber.Ctx, request quick.Request, err error) error {
	d.log.Emit(event.NotRouted, event.Fields{"request": request.ID, "error": err.Error()})
	var notRun *quick.NotRunError
	var done *quick.AnsweredBeforeError
	switch {
	case errors.As(err, &notRun):
		d.meters.Count("quickNotRun")
		return writeRefusal(c, fiber.StatusServiceUnavailable, notRun.Code, notRun.Error(), notRun.RetryAfter)
	case errors.As(err, &done):
		return writeProblem(c, fiber.StatusConflict, "answered_before", done.Error(), false)
	default:
		d.meters.Count("quickUnknown")
		return writeProblem(c, fiber.StatusGatewayTimeout, "unknown", err.Error(), false)
	}
}

// LimitError reports that a value of a request is too long or too large.
type LimitError struct {
	Field string
	Limit int
}

// Error names the value and the limit.
func (e *LimitError) Error() string {
	return e.Field + " is over the limit of " + strconv.Itoa(e.Limit)
}
