package kvhttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/valyala/fasthttp"
)

// Name is the driver's name in settings.
const Name = "http"

const (
	// maxConns bounds the connections to the store.
	maxConns = 64
	// defaultTimeout bounds a call whose context has no deadline.
	defaultTimeout = 2 * time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
)

func init() {
	store.Drivers.Register(Name, func(endpoint string) store.Driver { return New(endpoint) })
}

// Call is the body of every request; each operation uses only the fields that it needs.
type Call struct {
	Key     string        `json:"key,omitempty"`
	Prefix  string        `json:"prefix,omitempty"`
	Data    []byte        `json:"data,omitempty"`
	Version int64         `json:"version,omitempty"`
	Lease   int64         `json:"lease,omitempty"`
	Wait    time.Duration `json:"wait,omitempty"`
}

// Reply is the body of every response.
type Reply struct {
	Value   store.Value   `json:"value"`
	Changes store.Changes `json:"changes"`
	Version int64         `json:"version,omitempty"`
	Lease   int64         `json:"lease,omitempty"`
}

// Driver is an HTTP client of the store.
type Driver struct {
	endpoint string
	client   *fasthttp.Client
}

// New returns a driver for the endpoint, a URL without a path.
func New(endpoint string) *Driver {
	return &Driver{endpoint: endpoint, client: &fasthttp.Client{
		MaxConnsPerHost: maxConns, NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1,
		Dial: func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, dialTimeout) },
	}}
}

// Get reads one key.
func (d *Driver) Get(ctx context.Context, key string) (store.Value, error) {
	reply, err := d.call(ctx, "get", Call{Key: key})
	reply.Value.Key = key
	return reply.Value, err
}

// Swap writes the key if it still has the given version, and returns the new version.
func (d *Driver) Swap(ctx context.Context, key string, data []byte, version, lease int64) (int64, error) {
	reply, err := d.call(ctx, "swap", Call{Key: key, Data: data, Version: version, Lease: lease})
	return reply.Version, err
}

// Watch waits for changes of keys with the prefix, for at most wait.
func (d *Driver) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (store.Changes, error) {
	reply, err := d.call(ctx, "watch", Call{Prefix: prefix, Version: after, Wait: wait})
	return reply.Changes, err
}

// Grant creates a lease and returns its ID.
func (d *Driver) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	reply, err := d.call(ctx, "grant", Call{Wait: ttl})
	return reply.Lease, err
}

// Renew extends a lease.
func (d *Driver) Renew(ctx context.Context, lease int64) error {
	_, err := d.call(ctx, "renew", Call{Lease: lease})
	return err
}

// Revoke ends a lease.
func (d *Driver) Revoke(ctx context.Context, lease int64) error {
	_, err := d.call(ctx, "revoke", Call{Lease: lease})
	return err
}

func (d *Driver) call(ctx context.Context, op string, body Call) (Reply, error) {
	if ctx.Err() != nil {
		return Reply{}, &store.UnavailableError{Cause: ctx.Err().Error()}
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	encoded, err := json.Marshal(body)
	if err != nil {
		return Reply{}, fmt.Errorf("kvhttp: encode: %w", err)
	}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(d.endpoint + "/kv/" + op)
	request.SetBodyRaw(encoded)
	if deadline, ok := ctx.Deadline(); ok {
		err = d.client.DoDeadline(request, response, deadline)
	} else {
		err = d.client.DoTimeout(request, response, defaultTimeout)
	}
	if err != nil {
		return Reply{}, classify(err)
	}
	return parseReply(body, response)
}

// classify returns an UnavailableError for a request that was never sent, or a LostError if only the response is missing.
func classify(err error) error {
	var netErr *net.OpError
	if errors.As(err, &netErr) && netErr.Op == "dial" {
		return &store.UnavailableError{Cause: err.Error()}
	}
	if errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, fasthttp.ErrDialTimeout) {
		return &store.UnavailableError{Cause: err.Error()}
	}
	return &store.LostError{Cause: err.Error()}
}

func parseReply(body Call, response *fasthttp.Response) (Reply, error) {
	var reply Reply
	if err := json.Unmarshal(response.Body(), &reply); err != nil && response.StatusCode() == fasthttp.StatusOK {
		return reply, &store.LostError{Cause: "answer is not whole: " + err.Error()}
	}
	switch response.StatusCode() {
	case fasthttp.StatusOK:
		return reply, nil
	case fasthttp.StatusConflict:
		return reply, &store.ConflictError{Key: body.Key, Current: reply.Version}
	case fasthttp.StatusGone:
		return reply, &store.LapsedError{Lease: body.Lease}
	case fasthttp.StatusServiceUnavailable:
		return reply, &store.UnavailableError{Cause: "the service refuses calls"}
	default:
		return reply, &store.LostError{Cause: fmt.Sprintf("status %d", response.StatusCode())}
	}
}
