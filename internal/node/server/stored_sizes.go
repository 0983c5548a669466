package server

import (
	"encoding/json"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
)

const (
	// sizeRetention is how long a size counts after a worker last had it: longer than workers shrink or are away for maintenance.
	// It also bounds how long an odd entry has an effect.
	sizeRetention = 24 * time.Hour
	// sizeRefresh is how old the time of a size may be before it is stored again, as each store is a write.
	sizeRefresh = time.Hour
	// maxServices bounds the stored value; jobs of further services are not refused for their size.
	maxServices = 256
)

// size is the stored form of the largest capacity of a service's workers. The times are those at which a worker last had so
// much, in seconds of Unix time; sizes of earlier releases have none.
type size struct {
	MilliCores     int   `json:"milliCores"`
	MemoryMB       int   `json:"memoryMB"`
	Accelerators   int   `json:"accelerators"`
	CoresAt        int64 `json:"coresAt,omitempty"`
	MemoryAt       int64 `json:"memoryAt,omitempty"`
	AcceleratorsAt int64 `json:"acceleratorsAt,omitempty"`
}

// sizeOf returns the capacity as the size of a worker that was listed at the given time.
func sizeOf(r group.Resources, at int64) size {
	return size{MilliCores: r.MilliCores, MemoryMB: r.MemoryMB, Accelerators: r.Accelerators, CoresAt: at, MemoryAt: at, AcceleratorsAt: at}
}

func (z size) resources() group.Resources {
	return group.Resources{MilliCores: z.MilliCores, MemoryMB: z.MemoryMB, Accelerators: z.Accelerators}
}

// valid reports whether a worker may have the size.
func (z size) valid() bool {
	return min(z.MilliCores, z.MemoryMB, z.Accelerators) >= 0 &&
		z.MilliCores <= work.MaxMilliCores && z.MemoryMB <= work.MaxMemoryMB && z.Accelerators <= work.MaxAccelerators
}

// decodeSizes returns the stored sizes; what can't be decoded or is out of bounds counts as absent and is replaced.
func decodeSizes(data []byte) map[string]size {
	sizes := make(map[string]size)
	if len(data) > 0 && json.Unmarshal(data, &sizes) != nil {
		return nil
	}
	for service, z := range sizes {
		if !z.valid() {
			delete(sizes, service)
		}
	}
	return sizes
}

// larger returns the larger value of each field and when a worker last had it.
func larger(a, b size) size {
	a.MilliCores, a.CoresAt = largerAt(a.MilliCores, a.CoresAt, b.MilliCores, b.CoresAt)
	a.MemoryMB, a.MemoryAt = largerAt(a.MemoryMB, a.MemoryAt, b.MemoryMB, b.MemoryAt)
	a.Accelerators, a.AcceleratorsAt = largerAt(a.Accelerators, a.AcceleratorsAt, b.Accelerators, b.AcceleratorsAt)
	return a
}

// largerAt returns the larger value and its time. The time of equal values changes only once it is older than sizeRefresh.
func largerAt(a int, at int64, b int, bAt int64) (value int, valueAt int64) {
	if b > a || b == a && time.Duration(bAt-at)*time.Second >= sizeRefresh {
		return b, bAt
	}
	return a, at
}

// recent returns the size without the values that no worker has had within sizeRetention before now. A time that is missing or
// after now counts as now.
func (z size) recent(now int64) size {
	z.MilliCores, z.CoresAt = recentValue(z.MilliCores, z.CoresAt, now)
	z.MemoryMB, z.MemoryAt = recentValue(z.MemoryMB, z.MemoryAt, now)
	z.Accelerators, z.AcceleratorsAt = recentValue(z.Accelerators, z.AcceleratorsAt, now)
	return z
}

func recentValue(value int, at, now int64) (recent int, recentAt int64) {
	if at <= 0 || at > now {
		return value, now
	}
	if now-at > int64(sizeRetention/time.Second) {
		return 0, now
	}
	return value, at
}
