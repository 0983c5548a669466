package work

import (
	"encoding/json"
	"fmt"
	"time"
)

// LeaseRecord lists workers to which no owner grants leases until a later record no longer lists them.
type LeaseRecord struct {
	// Write is the number of the write within the term of the owner with that token.
	Token int64 `json:"token"`
	Write int   `json:"write"`
	// TermAge is the time from before the owner acquired its key until the write, on its clock; zero in records of releases without it.
	TermAge time.Duration `json:"termAge,omitempty"`
	// Remaining maps each worker to the time from the write of the record until its leases have certainly expired, on the clock of the
	// owner that wrote it.
	Remaining map[string]time.Duration `json:"remaining"`
}

// Encode returns the stored form, JSON.
func (r *LeaseRecord) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeLeaseRecord decodes the stored form.
func DecodeLeaseRecord(data []byte) (*LeaseRecord, error) {
	r := new(LeaseRecord)
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("job: stored record of leases: %w", err)
	}
	return r, nil
}

// entryBytes is an upper bound of what a worker adds to the stored form beside its ID.
const entryBytes = 32

// Fits reports whether the stored form with one more worker of that ID stays within limit bytes.
func (r *LeaseRecord) Fits(worker string, limit int) bool {
	size := 3*entryBytes + entryBytes + 2*len(worker)
	for id := range r.Remaining {
		size += entryBytes + 2*len(id)
	}
	return size <= limit
}
