package daemon

import (
	"context"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/peer/link"
	"github.com/lentildeck/lentildeck/internal/state/config"
)

// Status returns this instance's state to a peer.
func (d *Daemon) Status(_ context.Context, _ *link.StatusRequest) (*link.StatusReply, error) {
	return d.status(), nil
}

func (d *Daemon) status() *link.StatusReply {
	now := d.now()
	active := d.conf.Active()
	epoch, _ := d.holder.Epoch(now)
	reply := &link.StatusReply{
		Instance: d.settings.Instance, DataCentre: d.settings.DataCentre, Owner: epoch != 0, Epoch: epoch,
		Source: active.Source.String(), ConfirmedAgo: now.Sub(d.conf.ConfirmedAt()), Applying: d.conf.CommandUnresolved(), Stopping: !d.ready.Load(),
	}
	if active.Document != nil {
		reply.Revision = active.Document.Revision
		reply.Age = now.Sub(active.Since)
	}
	return reply
}

// Offer activates a peer's document if it is newer, and returns the active revision.
func (d *Daemon) Offer(_ context.Context, request *link.OfferRequest) (*link.OfferReply, error) {
	d.activate(&request.Document, config.FromPeer)
	return &link.OfferReply{Revision: d.conf.Active().Document.Revision}, nil
}

// Fetch returns the active document to a peer; Found is false if there is none.
func (d *Daemon) Fetch(_ context.Context, _ *link.FetchRequest) (*link.FetchReply, error) {
	active := d.conf.Active()
	if active.Document == nil {
		return &link.FetchReply{}, nil
	}
	return &link.FetchReply{Found: true, Document: *active.Document}, nil
}

// View returns the owner's snapshot to a peer; Owner is false if this instance is not the owner.
func (d *Daemon) View(_ context.Context, _ *link.ViewRequest) (*link.ViewReply, error) {
	snapshot, ok := d.owner.Snapshot()
	return &link.ViewReply{Owner: ok, Snapshot: snapshot}, nil
}

// activate makes a document the active one if it is newer, and reports whether it did.
func (d *Daemon) activate(doc *config.Document, source config.Source) bool {
	if !d.conf.Offer(doc, source, d.now()) {
		return false
	}
	d.log.Emit(event.ConfigInForce, event.Fields{
		"revision": doc.Revision, "command": doc.Command, "by": doc.By, "source": source.String(),
		"after": d.now().Sub(doc.At).Round(time.Millisecond).String(),
	})
	return true
}
