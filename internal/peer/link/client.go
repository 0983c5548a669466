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
	// dialTimeout bounds the making of a connection to a peer.
	dialTimeout = 700 * time.Millisecond
	// idleTimeout closes connections that nothing used, so that a silent one is not kept for long.
	idleTimeout = 5 * time.Second
	// idlePerPeer bounds the idle connections to one peer.
	idlePerPeer = 4
)

// Client calls other instances.
type Client struct {
	pool *drpcpool.Pool[string, *drpcconn.Conn]
	keys *tls.Config
}

// NewClient returns a client; keys is nil for plain TCP.
func NewClient(keys *tls.Config) *Client {
	options := drpcpool.Options{Expiration: idleTimeout, KeyCapacity: idlePerPeer}
	return &Client{pool: drpcpool.New[string, *drpcconn.Conn](options), keys: keys}
}

// Close closes the idle connections.
func (c *Client) Close() error { return c.pool.Close() }

func (c *Client) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if c.keys == nil {
		raw, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return drpcconn.New(raw), nil
	}
	secure := &tls.Dialer{NetDialer: dialer, Config: c.keys}
	raw, err := secure.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(raw), nil
}

// Invoke calls one method; ctx must have a deadline, since a connection may be silent.
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

// Offer hands a peer a configuration document.
func (c *Client) Offer(ctx context.Context, address string, request *OfferRequest) (*OfferReply, error) {
	return Invoke[OfferRequest, OfferReply](ctx, c, address, methodOffer, request)
}

// Fetch asks a peer for its configuration.
func (c *Client) Fetch(ctx context.Context, address string, request *FetchRequest) (*FetchReply, error) {
	return Invoke[FetchRequest, FetchReply](ctx, c, address, methodFetch, request)
}

// View asks a peer for what it knows as an owner.
func (c *Client) View(ctx context.Context, address string, request *ViewRequest) (*ViewReply, error) {
	return Invoke[ViewRequest, ViewReply](ctx, c, address, methodView, request)
}

// CallError says that a peer gave no answer.
type CallError struct {
	Address string
	Method  string
	Cause   error
}

// Error names the peer and the method.
func (e *CallError) Error() string {
	return fmt.Sprintf("peer %s: %s: %v", e.Address, e.Method, e.Cause)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }
