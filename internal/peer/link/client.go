package link

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

const (
	// dialTimeout limits the time to connect to a peer.
	dialTimeout = 700 * time.Millisecond
	// idleTimeout is how long an unused connection is kept; it is short so that an unresponsive one is soon replaced.
	idleTimeout = 5 * time.Second
	// maxIdlePerPeer is the maximum number of idle connections to one peer.
	maxIdlePerPeer = 4
)

// Client calls other instances.
type Client struct {
	pool      *drpcpool.Pool[string, *drpcconn.Conn]
	tlsConfig *tls.Config
}

// NewClient returns a client; a nil tlsConfig means plain TCP.
func NewClient(tlsConfig *tls.Config) *Client {
	options := drpcpool.Options{Expiration: idleTimeout, KeyCapacity: maxIdlePerPeer}
	return &Client{pool: drpcpool.New[string, *drpcconn.Conn](options), tlsConfig: tlsConfig}
}

// Close closes the idle connections.
func (c *Client) Close() error { return c.pool.Close() }

func (c *Client) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if c.tlsConfig == nil {
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return drpcconn.New(conn), nil
	}
	tlsDialer := &tls.Dialer{NetDialer: dialer, Config: c.tlsConfig}
	conn, err := tlsDialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(conn), nil
}

// Invoke calls a method of the peer at the address; ctx must have a deadline, since the peer may never respond. A failed
// call returns a *CallError.
func Invoke[In, Out any](ctx context.Context, c *Client, address, method string, in *In) (*Out, error) {
	out := new(Out)
	conn := c.pool.Get(ctx, address, c.dial)
	if err := conn.Invoke(ctx, method, Codec{}, in, out); err != nil {
		return nil, &CallError{Address: address, Method: method, Cause: err}
	}
	return out, nil
}

// Status asks a peer for its state.
func (c *Client) Status(ctx context.Context, address string, request *StatusRequest) (*StatusReply, error) {
	return Invoke[StatusRequest, StatusReply](ctx, c, address, methodStatus, request)
}

// Offer sends a configuration document to a peer.
func (c *Client) Offer(ctx context.Context, address string, request *OfferRequest) (*OfferReply, error) {
	return Invoke[OfferRequest, OfferReply](ctx, c, address, methodOffer, request)
}

// Fetch asks a peer for its active configuration.
func (c *Client) Fetch(ctx context.Context, address string, request *FetchRequest) (*FetchReply, error) {
	return Invoke[FetchRequest, FetchReply](ctx, c, address, methodFetch, request)
}

// View asks a peer for a snapshot of its state as an owner.
func (c *Client) View(ctx context.Context, address string, request *ViewRequest) (*ViewReply, error) {
	return Invoke[ViewRequest, ViewReply](ctx, c, address, methodView, request)
}

// CallError reports that a call to a peer failed; the peer may have executed it nevertheless.
type CallError struct {
	Address string
	Method  string
	Cause   error
}

// Error gives the peer's address, the method and the cause.
func (e *CallError) Error() string {
	return fmt.Sprintf("peer %s: %s: %v", e.Address, e.Method, e.Cause)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }
