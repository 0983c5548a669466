package group

// Resources is an amount of cores, memory and accelerators: what a task needs or a worker has.
type Resources struct {
	MilliCores   int `json:"milliCores"`
	MemoryMB     int `json:"memoryMB"`
	Accelerators int `json:"accelerators"`
}

// Add returns the sum of both.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o; fields may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{r.MilliCores * n, r.MemoryMB * n, r.Accelerators * n}
}

// anyNegative reports whether any field is negative.
func (r Resources) anyNegative() bool {
	return r.MilliCores < 0 || r.MemoryMB < 0 || r.Accelerators < 0
}

// Count returns how many times r fits into free, at most limit; it is 0 if any field of free is negative.
func (r Resources) Count(free Resources, limit int) int {
	if free.anyNegative() {
		return 0
	}
	n := limit
	if r.MilliCores > 0 {
		n = min(n, free.MilliCores/r.MilliCores)
	}
	if r.MemoryMB > 0 {
		n = min(n, free.MemoryMB/r.MemoryMB)
	}
	if r.Accelerators > 0 {
		n = min(n, free.Accelerators/r.Accelerators)
	}
	return max(n, 0)
}

// coresPerAccelerator is the weight of an accelerator in cores, which is the ratio of the users' prices for them.
const coresPerAccelerator = 8

// Cores returns the weight of the room in cores, accelerators included.
func (r Resources) Cores() float64 {
	return float64(r.MilliCores)/1000 + float64(r.Accelerators)*coresPerAccelerator
}
