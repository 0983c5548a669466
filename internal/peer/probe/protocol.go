package probe

import (
	"context"

	"github.com/lentildeck/lentildeck/internal/peer/link"
	"storj.io/drpc"
)

// Request asks an instance to read the configuration and the list of workers; Token is the fencing token of the owner that asks.
type Request struct{ Token int64 }

// Reply reports in Able whether the instance has read both; Error is why it has not.
type Reply struct {
	Able  bool
	Error string
}

// Handler receives the questions of owners.
type Handler interface {
	// Probe reads the configuration and the list of workers.
	Probe(ctx context.Context, request *Request) (*Reply, error)
}

const methodProbe = "/lentildeck.Probe/Probe"

// Description describes the service to drpc.
type Description struct{}

// NumMethods returns 1, the number of methods.
func (Description) NumMethods() int { return 1 }

// Method describes method n, counted from zero; the last result is false if there is none.
func (Description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n != 0 {
		return "", nil, nil, nil, false
	}
	return methodProbe, link.Codec{}, link.Receive(Handler.Probe), Handler.Probe, true
}
