package link

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/lentildeck/lentildeck/internal/oper/view"
	"github.com/lentildeck/lentildeck/internal/state/config"
	"storj.io/drpc"
)

// StatusRequest asks an instance for its state.
type StatusRequest struct {
	From string
}

// StatusReply is an instance's word about itself.
type StatusReply struct {
	Instance   string
	DataCentre string
	Revision   int64
	Source     string
	Age        time.Duration
	Owner      bool
	Epoch      int64
	// ConfirmedAgo is how long ago the key-value service had no higher revision.
	ConfirmedAgo time.Duration
	// Applying is true while a command's fate is open.
	Applying bool
	Stopping bool
}

// OfferRequest carries a configuration document.
type OfferRequest struct {
	Document config.Document
}

// OfferReply tells the revision in force afterwards.
type OfferReply struct {
	Revision int64
}

// FetchRequest asks for the configuration in force.
type FetchRequest struct {
	From string
}

// FetchReply carries the configuration in force, if there is one.
type FetchReply struct {
	Found    bool
	Document config.Document
}

// ViewRequest asks an owner for what it knows.
type ViewRequest struct {
	From string
}

// ViewReply is a snapshot; Owner is false if the instance decides for no data centre.
type ViewReply struct {
	Owner    bool
	Snapshot view.Snapshot
}

// Handler answers the calls of other instances.
type Handler interface {
	// Status returns the instance's state.
	Status(ctx context.Context, request *StatusRequest) (*StatusReply, error)
	// Offer takes in a configuration document if its revision is higher.
	Offer(ctx context.Context, request *OfferRequest) (*OfferReply, error)
	// Fetch returns the configuration in force.
	Fetch(ctx context.Context, request *FetchRequest) (*FetchReply, error)
	// View returns what an owner knows.
	View(ctx context.Context, request *ViewRequest) (*ViewReply, error)
}

// Codec encodes messages as CBOR.
type Codec struct{}

// encoder keeps times to the nanosecond; by default they would lose what is below a second.
var encoder = newEncoder()

func newEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic("link: the options of the codec: " + err.Error())
	}
	return mode
}

// Marshal encodes a message.
func (Codec) Marshal(message drpc.Message) ([]byte, error) { return encoder.Marshal(message) }

// Unmarshal decodes a message.
func (Codec) Unmarshal(data []byte, message drpc.Message) error {
	return cbor.Unmarshal(data, message)
}

// The method names on the wire.
const (
	methodStatus = "/lentildeck.Peer/Status"
	methodOffer  = "/lentildeck.Peer/Offer"
	methodFetch  = "/lentildeck.Peer/Fetch"
	methodView   = "/lentildeck.Peer/View"
)

// description registers the methods with drpc.
type description struct{}

// NumMethods returns the number of methods.
func (description) NumMethods() int { return 4 }

// Method describes the nth method.
func (description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch n {
	case 0:
		return methodStatus, Codec{}, Receive(Handler.Status), Handler.Status, true
	case 1:
		return methodOffer, Codec{}, Receive(Handler.Offer), Handler.Offer, true
	case 2:
		return methodFetch, Codec{}, Receive(Handler.Fetch), Handler.Fetch, true
	case 3:
		return methodView, Codec{}, Receive(Handler.View), Handler.View, true
	default:
		return "", nil, nil, nil, false
	}
}

// Receive adapts a typed method of a handler to drpc.
func Receive[H, In, Out any](method func(H, context.Context, *In) (*Out, error)) drpc.Receiver {
	return func(server any, ctx context.Context, in1, _ any) (drpc.Message, error) {
		out, err := method(server.(H), ctx, in1.(*In))
		if err != nil {
			return nil, err
		}
		return out, nil
	}
}
