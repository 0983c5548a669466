package worker

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxConnsPerHost bounds the connections to one worker's address.
	maxConnsPerHost = 64
	// idleTimeout is how long an unused connection stays open; it is short, so that a dead connection is soon replaced.
	idleTimeout = 10 * time.Second
	// syncTimeout bounds a call whose context has no deadline.
	syncTimeout = time.Second
)

func init() {
	Drivers.Register("http", func(endpoint, token string) Link { return NewHTTP(endpoint, token) })
}

// HTTP is a Link that posts JSON.
type HTTP struct {
	endpoint string
	token    string
	client   *fasthttp.Client
}

// NewHTTP returns an HTTP link; {worker} in the endpoint is replaced by the worker's name.
func NewHTTP(endpoint, token string) *HTTP {
	return &HTTP{endpoint: endpoint, token: token, client: &fasthttp.Client{
		MaxConnsPerHost: maxConnsPerHost, MaxIdleConnDuration: idleTimeout, NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1,
	}}
}

// Sync posts the request; every order is idempotent, so after a lost response the next call may repeat it.
func (h *HTTP) Sync(ctx context.Context, request Request) (Response, error) {
	call, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(call)
	defer fasthttp.ReleaseResponse(answer)
	body, err := json.Marshal(request)
	if err != nil {
		return Response{}, fmt.Errorf("worker %s: encode: %w", request.Worker, err)
	}
	call.Header.SetMethod(fasthttp.MethodPost)
	call.SetRequestURI(strings.ReplaceAll(h.endpoint, "{worker}", request.Worker) + "/sync")
	call.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+h.token)
	call.SetBodyRaw(body)
	if deadline, ok := ctx.Deadline(); ok {
		err = h.client.DoDeadline(call, answer, deadline)
	} else {
		err = h.client.DoTimeout(call, answer, syncTimeout)
	}
	if err != nil {
		return Response{}, &UnreachableError{Worker: request.Worker, Cause: err.Error()}
	}
	return decode(request.Worker, answer)
}

func decode(name string, answer *fasthttp.Response) (Response, error) {
	var response Response
	if err := json.Unmarshal(answer.Body(), &response); err != nil {
		return response, &UnreachableError{Worker: name, Cause: fmt.Sprintf("status %d: %v", answer.StatusCode(), err)}
	}
	switch answer.StatusCode() {
	case fasthttp.StatusOK:
		return response, nil
	case fasthttp.StatusConflict:
		return response, &StaleError{Worker: name, Epoch: response.Epoch}
	default:
		return response, &UnreachableError{Worker: name, Cause: fmt.Sprintf("status %d", answer.StatusCode())}
	}
}
