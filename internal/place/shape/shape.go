package shape

import "fmt"

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=Within -json -text -transform=title-lower

// Within is how close together the members of a job must be placed.
type Within int

// Scopes of a placement, from the closest to the widest.
const (
	Worker Within = iota
	Rack
	DataCentre
)

// Resources is the capacity that a member needs or a worker has.
type Resources struct {
	Accelerators int `json:"accelerators"`
	Cores        int `json:"cores"`
	MemoryGB     int `json:"memoryGB"`
}

// Add returns the sum of r and o, field by field.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Accelerators + o.Accelerators, r.Cores + o.Cores, r.MemoryGB + o.MemoryGB}
}

// Sub returns r minus o, field by field; fields may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Accelerators - o.Accelerators, r.Cores - o.Cores, r.MemoryGB - o.MemoryGB}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{r.Accelerators * n, r.Cores * n, r.MemoryGB * n}
}

// Min returns the smaller of r and o, field by field.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.Accelerators, o.Accelerators), min(r.Cores, o.Cores), min(r.MemoryGB, o.MemoryGB)}
}

// Fits reports whether r fits into o.
func (r Resources) Fits(o Resources) bool {
	return r.Accelerators <= o.Accelerators && r.Cores <= o.Cores && r.MemoryGB <= o.MemoryGB
}

// IsZero reports whether all fields are zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// Count returns how many times r fits into o, at most limit.
func (r Resources) Count(o Resources, limit int) int {
	n := limit
	if r.Accelerators > 0 {
		n = min(n, o.Accelerators/r.Accelerators)
	}
	if r.Cores > 0 {
		n = min(n, o.Cores/r.Cores)
	}
	if r.MemoryGB > 0 {
		n = min(n, o.MemoryGB/r.MemoryGB)
	}
	if o.Accelerators < 0 || o.Cores < 0 || o.MemoryGB < 0 {
		return 0
	}
	return max(n, 0)
}

// Shape is the request for Members equal members that are placed within one worker, rack or data centre.
type Shape struct {
	Members int `json:"members"`
	Resources
	Within Within `json:"within"`
}

// Total returns the capacity of all members together.
func (s Shape) Total() Resources { return s.Resources.Times(s.Members) }

// Covers reports whether capacity reserved for s can always hold o.
func (s Shape) Covers(o Shape) bool {
	return o.Members <= s.Members && o.Resources.Fits(s.Resources) && s.Within <= o.Within
}

// String returns the shape as text for users.
func (s Shape) String() string {
	return fmt.Sprintf("%d × (%d accelerators, %d cores, %d GB) in one %s",
		s.Members, s.Accelerators, s.Cores, s.MemoryGB, s.Within)
}

// MemberWeight returns the sort key of one member's size: accelerators first, then cores.
func (s Shape) MemberWeight() int { return s.Accelerators*1024 + s.Cores }
