package reason

import (
	"fmt"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/shape"
)

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=Code -json -text -transform=title-lower

// Code is the cause for which a job waits.
type Code int

// Causes of a wait.
const (
	// None means that the job does not wait.
	None Code = iota
	// NotConsidered means that no decision has considered the job yet.
	NotConsidered
	// NoCapacity means that too little capacity is free in every data centre that the job may use.
	NoCapacity
	// Fragmented means that a data centre has enough free capacity, but not close enough together.
	Fragmented
	// Promised means that the free capacity belongs to guarantees and the job could not be stopped to return it.
	Promised
	// Reclaiming means that capacity is reserved for the job and other jobs are being stopped for it.
	Reclaiming
	// BehindOthers means that the policy keeps jobs in order and an earlier one does not fit.
	BehindOthers
	// Drained means that operators have drained every data centre that the job may use.
	Drained
	// DataCentreLost means that every data centre that the job may use is lost.
	DataCentreLost
	// NoPermit means that there is no freshness proof that the data centre is not drained.
	NoPermit
	// NoOwner means that no instance owns the data centre at the moment.
	NoOwner
	// Backoff means that the job waits after a failed start.
	Backoff
)

// Reason is the cause with the numbers that explain it.
type Reason struct {
	Code  Code        `json:"code"`
	Shape shape.Shape `json:"shape"`
	// Found is how many members fit on the best unit now.
	Found int    `json:"found"`
	Where string `json:"where,omitempty"`
	// BlockedBy is the largest job on the best unit.
	BlockedBy string `json:"blockedBy,omitempty"`
	// Stopping is how many jobs must still stop.
	Stopping int       `json:"stopping,omitempty"`
	Until    time.Time `json:"until,omitzero"`
}

// String returns the reason as one sentence for users, with numbers and what would change the situation.
func (r Reason) String() string {
	switch r.Code {
	case None:
		return ""
	case NotConsidered:
		return "just submitted; the next decision looks at it within a second"
	case NoCapacity, Fragmented:
		return r.noCapacityText()
	case Promised:
		return fmt.Sprintf("needs %s that is promised to nobody, as the job can't be stopped once started; starts when such capacity is free or its workspace gets a guarantee", r.Shape)
	case Reclaiming:
		return fmt.Sprintf("a place in %s is chosen; starts when %d more jobs have stopped", r.Where, r.Stopping)
	case BehindOthers:
		return fmt.Sprintf("the policy keeps jobs in order; starts after %s, which does not fit yet", r.BlockedBy)
	case Drained:
		return "every data centre it may use is drained; restore one of them"
	case DataCentreLost:
		return "every data centre it may use is lost; starts when one is back"
	case NoPermit:
		return "the key-value service can't be reached, so nothing proves that the data centre is not drained; starts when the service or all instances answer"
	case NoOwner:
		return "no instance decides for the data centre; starts when one has taken the lease"
	case Backoff:
		return fmt.Sprintf("waits until %s after a failed start", r.Until.Format(time.TimeOnly))
	default:
		return r.Code.String()
	}
}

func (r Reason) noCapacityText() string {
	text := fmt.Sprintf("needs %s; largest free: %d × in %s", r.Shape, r.Found, r.Where)
	if r.Found == 0 {
		text = fmt.Sprintf("needs %s; not even one member fits now", r.Shape)
	}
	if r.Code == Fragmented {
		text += "; enough is free in the data centre, but scattered"
	}
	if r.BlockedBy != "" {
		text += fmt.Sprintf("; starts when capacity there is given back, for one by %s", r.BlockedBy)
	}
	return text
}
