package claim

import (
	"context"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/table"
)

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=State -json -text -transform=title-lower

const (
	// Prefix is where the claims live in the key-value service.
	Prefix = "claim/"
	// shardCount is how many values the claims are spread over.
	shardCount = 16
	// keepFor is how long a repeat of a request is recognised.
	keepFor = time.Hour
	// maxKeptAnswer is the largest answer that is recorded for repeats.
	maxKeptAnswer = 2 << 10
)

// State is how far a claimed request has come.
type State int

// The states.
const (
	// Claimed means that the request may be running or may have run.
	Claimed State = iota
	// Answered means that the recorded answer is the request's.
	Answered
	// NotRun means that the request surely had no effect, so that it may be claimed anew.
	NotRun
)

// Record is the claim of one idempotency key.
type Record struct {
	Instance    string    `json:"instance"`
	State       State     `json:"state"`
	At          time.Time `json:"at"`
	Status      int       `json:"status,omitempty"`
	ContentType string    `json:"contentType,omitempty"`
	Body        []byte    `json:"body,omitempty"`
	// BodyDropped is true if the answer was too large to record.
	BodyDropped bool `json:"bodyDropped,omitempty"`
}

// Claims is one instance's side of all claims.
type Claims struct {
	table    *table.Table[Record]
	instance string
}

// New returns the claims of an instance.
func New(client *store.Client, instance string, now func() time.Time, observe func(int)) *Claims {
	cfg := table.Config[Record]{
		Prefix: Prefix, Shards: shardCount, Class: store.Claims, Observe: observe,
		Expired: func(r Record, at time.Time) bool { return r.At.Before(at.Add(-keepFor)) },
	}
	return &Claims{table: table.New(cfg, client, now), instance: instance}
}

// Close stops the commit loops.
func (c *Claims) Close() { c.table.Close() }

// Take claims the key for one dispatch. If it was claimed before, taken is false and earlier says by whom and with what result.
func (c *Claims) Take(ctx context.Context, key string, now time.Time) (earlier Record, taken bool, err error) {
	err = c.table.Update(ctx, key, func(r *Record, exists bool) error {
		taken = !exists || r.State == NotRun
		if !taken {
			earlier = *r
			return errTaken
		}
		*r = Record{Instance: c.instance, State: Claimed, At: now}
		return nil
	})
	if err == errTaken {
		err = nil
	}
	return earlier, taken && err == nil, err
}

// Finish records the answer for repeats.
func (c *Claims) Finish(ctx context.Context, key string, status int, contentType string, body []byte) error {
	return c.table.Update(ctx, key, func(r *Record, _ bool) error {
		r.State, r.Status, r.ContentType = Answered, status, contentType
		if r.BodyDropped = len(body) > maxKeptAnswer; !r.BodyDropped {
			r.Body = body
		}
		return nil
	})
}

// GiveBack records that the request surely had no effect.
func (c *Claims) GiveBack(ctx context.Context, key string) error {
	return c.table.Update(ctx, key, func(r *Record, _ bool) error {
		r.State = NotRun
		return nil
	})
}

// takenError ends a change without a write; it never leaves the package.
type takenError struct{}

// Error names the case.
func (takenError) Error() string { return "claimed already" }

var errTaken = takenError{}
