package claim

import (
	"context"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/table"
)

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=State -json -text -transform=title-lower

const (
	// Prefix is the key prefix of the claims in the key-value store.
	Prefix = "claim/"
	// shardCount is the number of stored values that the claims are spread over.
	shardCount = 16
	// retention is how long a repeated request is recognised.
	retention = time.Hour
	// maxRecordedBytes is the largest answer body that is recorded for repeated requests.
	maxRecordedBytes = 2 << 10
)

// State is the progress of a claimed request.
type State int

// The states of a claim.
const (
	// Claimed means that the request may be running or may have run.
	Claimed State = iota
	// Answered means that the request ran and its answer is recorded.
	Answered
	// NotRun means that the request certainly had no effect, so that it may be claimed again.
	NotRun
)

// Record is the stored claim of one idempotency key.
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

// Claims gives one instance access to all claims.
type Claims struct {
	table    *table.Table[Record]
	instance string
}

// New returns the claims as the instance accesses them; observe is called with the size of each group commit.
func New(client *store.Client, instance string, now func() time.Time, observe func(int)) *Claims {
	cfg := table.Config[Record]{
		Prefix: Prefix, Shards: shardCount, Class: store.Claims, Observe: observe,
		Expired: func(r Record, at time.Time) bool { return r.At.Before(at.Add(-retention)) },
	}
	return &Claims{table: table.New(cfg, client, now), instance: instance}
}

// Close stops the commit loops.
func (c *Claims) Close() { c.table.Close() }

// Acquire claims the key for one dispatch. If the key is claimed already, acquired is false and earlier is the existing
// claim.
func (c *Claims) Acquire(ctx context.Context, key string, now time.Time) (earlier Record, acquired bool, err error) {
	err = c.table.Update(ctx, key, func(r *Record, exists bool) error {
		acquired = !exists || r.State == NotRun
		if !acquired {
			earlier = *r
			return errAlreadyClaimed
		}
		*r = Record{Instance: c.instance, State: Claimed, At: now}
		return nil
	})
	if err == errAlreadyClaimed {
		err = nil
	}
	return earlier, acquired && err == nil, err
}

// Finish records the answer for repeated requests.
func (c *Claims) Finish(ctx context.Context, key string, status int, contentType string, body []byte) error {
	return c.table.Update(ctx, key, func(r *Record, _ bool) error {
		r.State, r.Status, r.ContentType = Answered, status, contentType
		if r.BodyDropped = len(body) > maxRecordedBytes; !r.BodyDropped {
			r.Body = body
		}
		return nil
	})
}

// Release records that the request certainly had no effect, so that the key can be claimed again.
func (c *Claims) Release(ctx context.Context, key string) error {
	return c.table.Update(ctx, key, func(r *Record, _ bool) error {
		r.State = NotRun
		return nil
	})
}

// alreadyClaimedError ends an update without a write; the package does not return it.
type alreadyClaimedError struct{}

// Error describes the conflict.
func (alreadyClaimedError) Error() string { return "claimed already" }

var errAlreadyClaimed = alreadyClaimedError{}
