package link

import (
	"context"
	"fmt"
	"net"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Server serves the calls of other instances.
type Server struct {
	server *drpcserver.Server
	done   chan struct{}
}

// NewServer returns a server for one handler of the peer protocol.
func NewServer(handler Handler) (*Server, error) { return Serve(Service{handler, description{}}) }

// Service is a handler together with the description of the methods that peers may call.
type Service struct {
	Handler any
	Methods drpc.Description
}

// Serve returns a server for several services; it fails if a method is registered twice.
func Serve(services ...Service) (*Server, error) {
	mux := drpcmux.New()
	for _, s := range services {
		if err := mux.Register(s.Handler, s.Methods); err != nil {
			return nil, fmt.Errorf("peer server: %w", err)
		}
	}
	return &Server{server: drpcserver.New(mux), done: make(chan struct{})}, nil
}

// Serve serves calls until ctx ends; then it closes the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	defer close(s.done)
	return s.server.Serve(ctx, listener)
}

// Done returns a channel that is closed when Serve has returned.
func (s *Server) Done() <-chan struct{} { return s.done }
