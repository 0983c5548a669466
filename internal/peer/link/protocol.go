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

// StatusReply describes the state of the replying instance.
type StatusReply struct {
	Instance   string
	DataCentre string
	Revision   int64
	Source     string
	Age        time.Duration
	Owner      bool
	Epoch      int64
	// ConfirmedAgo is the time since the key-value store was last known to have no higher revision.
	ConfirmedAgo time.Duration
	// Applying is true while the outcome of a command is unknown.
	Applying bool
	Stopping bool
}

// OfferRequest carries a configuration document.
type OfferRequest struct {
	Document config.Document
}

// OfferReply returns the revision that is active after the offer.
type OfferReply struct {
	Revision int64
}

// FetchRequest asks for the active configuration.
type FetchRequest struct {
	From string
}

// FetchReply carries the active configuration; Found is false if there is none.
type FetchReply struct {
	Found    bool
	Document config.Document
}

// ViewRequest asks an owner for a snapshot of its state.
type ViewRequest struct {
	From string
}

// ViewReply carries a snapshot; Owner is false if the instance owns no data centre.
type ViewReply struct {
	Owner    bool
	Snapshot view.Snapshot
}

// Handler answers the calls of other instances.
type Handler interface {
	// Status returns the instance's state.
	Status(ctx context.Context, request *StatusRequest) (*StatusReply, error)
	// Offer activates a configuration document if its revision is higher than the active one.
	Offer(ctx context.Context, request *OfferRequest) (*OfferReply, error)
	// Fetch returns the active configuration.
	Fetch(ctx context.Context, request *FetchRequest) (*FetchReply, error)
	// View returns a snapshot of the owner's state.
	View(ctx context.Context, request *ViewRequest) (*ViewReply, error)
}

// Codec encodes and decodes drpc messages as CBOR.
type Codec struct{}

// encMode encodes times with nanoseconds; the default encoding drops fractions of a second.
var encMode = newEncMode()

func newEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic("link: invalid CBOR encoding options: " + err.Error())
	}
	return mode
}

// Marshal encodes a message as CBOR.
func (Codec) Marshal(message drpc.Message) ([]byte, error) { return encMode.Marshal(message) }

// Unmarshal decodes CBOR data into message, which must be a pointer.
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

// description describes the methods of Handler to drpc.
type description struct{}

// NumMethods returns the number of methods of Handler.
func (description) NumMethods() int { return 4 }

// Method describes method n, counted from zero; the last result is false if there is none.
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

// Receive adapts a typed handler method to drpc; the receiver panics if it is called with another handler or message type.
func Receive[H, In, Out any](method func(H, context.Context, *In) (*Out, error)) drpc.Receiver {
	return func(server any, ctx context.Context, in1, _ any) (drpc.Message, error) {
		out, err := method(server.(H), ctx, in1.(*In))
		if err != nil {
			return nil, err
		}
		return out, nil
	}
}
