package list

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/plug"
	"github.com/valyala/fasthttp"
)

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=Kind,State -json -text -transform=title-lower -output=enums_enumer.go

// Kind distinguishes entry instances from backend servers.
type Kind int

// The kinds of listed instances.
const (
	Entry Kind = iota
	Backend
)

// State is the state of an instance according to the list.
type State int

// The states of listed instances.
const (
	Live State = iota
	Leaving
)

// Instance is one entry of the list.
type Instance struct {
	Name       string `json:"name"`
	Kind       Kind   `json:"kind"`
	DataCentre string `json:"dataCentre"`
	// Address is where a backend server accepts requests or an entry instance accepts calls from its peers.
	Address string `json:"address"`
	State   State  `json:"state"`
}

// Source provides the instance list.
type Source interface {
	// Instances returns the platform's whole list.
	Instances(ctx context.Context) ([]Instance, error)
}

// Opener creates a source for an endpoint.
type Opener func(endpoint string) Source

// Drivers is the registry of protocols for reading the list.
var Drivers = plug.New[Opener]("instance list driver")

func init() {
	Drivers.Register("http", func(endpoint string) Source { return NewHTTP(endpoint) })
}

// readTimeout limits one read of the list.
const readTimeout = time.Second

// HTTP reads the list as JSON over HTTP.
type HTTP struct {
	endpoint string
	client   *fasthttp.Client
}

// NewHTTP returns a source that reads GET /instances of the endpoint.
func NewHTTP(endpoint string) *HTTP {
	return &HTTP{endpoint: endpoint, client: &fasthttp.Client{NoDefaultUserAgentHeader: true}}
}

// Instances reads the list; it returns a *ReadError on a transport error, a status other than 200 or invalid JSON.
func (h *HTTP) Instances(ctx context.Context) ([]Instance, error) {
	request, reply := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(reply)
	request.SetRequestURI(h.endpoint + "/instances")
	timeout := readTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	if err := h.client.DoTimeout(request, reply, timeout); err != nil {
		return nil, &ReadError{Cause: err.Error()}
	}
	var instances []Instance
	if err := json.Unmarshal(reply.Body(), &instances); err != nil || reply.StatusCode() != fasthttp.StatusOK {
		return nil, &ReadError{Cause: fmt.Sprintf("status %d: %v", reply.StatusCode(), err)}
	}
	return instances, nil
}

// ReadError reports that the list could not be read.
type ReadError struct{ Cause string }

// Error returns the cause with a prefix.
func (e *ReadError) Error() string { return "instance list: " + e.Cause }
