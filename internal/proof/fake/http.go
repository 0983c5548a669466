package fake

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/lentildeck/lentildeck/internal/edge/worker"
	"github.com/lentildeck/lentildeck/internal/state/kvhttp"
	"github.com/lentildeck/lentildeck/internal/state/store"
)

// Server serves a fake over HTTP until it is closed.
type Server struct {
	app      *fiber.App
	listener net.Listener
	done     chan struct{}
}

// URL returns the base URL of the server, without a trailing slash.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// Done returns a channel that is closed when the server has stopped.
func (s *Server) Done() <-chan struct{} { return s.done }

// Close stops the server; connections that are still busy after 1 s are not an error.
func (s *Server) Close() error {
	err := s.app.ShutdownWithTimeout(time.Second)
	<-s.done
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

func serve(address string, app *fiber.App) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{app: app, listener: listener, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		// The error after a shutdown carries no information.
		_ = app.Listener(listener)
	}()
	return s, nil
}

func newApp() *fiber.App {
	return fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: 8 << 20})
}

// ServePlatform serves the key-value store and the instance list over HTTP.
func ServePlatform(address string, kv *KV, list *List) (*Server, error) {
	app := newApp()
	app.Post("/kv/:op", func(c *fiber.Ctx) error { return serveKV(c, kv) })
	app.Get("/instances", func(c *fiber.Ctx) error {
		instances, err := list.Instances(c.Context())
		if err != nil {
			return c.SendStatus(fiber.StatusServiceUnavailable)
		}
		return c.JSON(instances)
	})
	return serve(address, app)
}

func serveKV(c *fiber.Ctx, kv *KV) error {
	var call kvhttp.Call
	if err := json.Unmarshal(c.Body(), &call); err != nil {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	call.Key = strings.Clone(call.Key)
	reply, err := performCall(context.Background(), kv, c.Params("op"), call)
	var conflict *store.ConflictError
	var lapsed *store.LapsedError
	var down *store.UnavailableError
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		reply.Version = conflict.Current
		c.Status(fiber.StatusConflict)
	case errors.As(err, &lapsed):
		c.Status(fiber.StatusGone)
	case errors.As(err, &down):
		c.Status(fiber.StatusServiceUnavailable)
	default:
		c.Status(fiber.StatusGatewayTimeout)
	}
	return c.JSON(reply)
}

func performCall(ctx context.Context, kv *KV, op string, call kvhttp.Call) (reply kvhttp.Reply, err error) {
	switch op {
	case "get":
		reply.Value, err = kv.Get(ctx, call.Key)
	case "swap":
		reply.Version, err = kv.Swap(ctx, call.Key, call.Data, call.Version, call.Lease)
	case "watch":
		reply.Changes, err = kv.Watch(ctx, call.Prefix, call.Version, call.Wait)
	case "grant":
		reply.Lease, err = kv.Grant(ctx, call.Wait)
	case "renew":
		err = kv.Renew(ctx, call.Lease)
	default:
		err = kv.Revoke(ctx, call.Lease)
	}
	return reply, err
}

// ServeWorkers serves all fake workers on one address, below /workers/; requests need the token as a bearer token.
func ServeWorkers(address, token string, workers *Workers) (*Server, error) {
	app := newApp()
	app.Post("/workers/*", func(c *fiber.Ctx) error {
		if c.Get(fiber.HeaderAuthorization) != "Bearer "+token {
			return c.SendStatus(fiber.StatusUnauthorized)
		}
		var request worker.Request
		if err := json.Unmarshal(c.Body(), &request); err != nil {
			return c.SendStatus(fiber.StatusBadRequest)
		}
		response, err := workers.Sync(c.Context(), request)
		var stale *worker.StaleError
		switch {
		case errors.As(err, &stale):
			return c.Status(fiber.StatusConflict).JSON(response)
		case err != nil:
			return c.SendStatus(fiber.StatusBadGateway)
		}
		return c.JSON(response)
	})
	return serve(address, app)
}
