package limit

import (
	"fmt"
	"time"
)

// Machine is what the process may use in all; zero fields are not known.
type Machine struct {
	MemoryMB    int64
	Descriptors int
}

// DefaultMemoryMB and DefaultDescriptors stand for what is not known. With them a product's instance accepts 4,096 connections, and 42
// bodies of 4 MiB at once.
const (
	DefaultMemoryMB    = 4096
	DefaultDescriptors = 8192
)

const (
	// minMemoryMB and minDescriptors are the least with which the process itself runs: 14 MB were measured without clients.
	minMemoryMB    = 32
	minDescriptors = 128
	// bodyShare is the part of the memory for bodies in flight, connectionShare that for connections. Both together leave half of the
	// memory to the jobs and to garbage that is not collected yet.
	bodyShare       = 6
	connectionShare = 4
	// connectionBytes is what a connection holds at most besides a body: 16 KiB of header, 4 KiB of response and the stack of its
	// goroutine.
	connectionBytes = 32 << 10
	// descriptorShare is the part of the descriptors for callers; workers, the store and files need the rest.
	descriptorShare = 2
	// streamShare is the part of the descriptors for instances, at most maxStreams: four connections from each of 256 others.
	streamShare = 4
	maxStreams  = 1024
	// otherShare is the part of the descriptors for each further listener, between the two bounds below.
	otherShare = 32
	minOthers  = 16
	maxOthers  = 256
	// minBodies is how many bodies of the largest size the budget holds at least, so that one of them is served without overload.
	minBodies = 4
)

// InvalidError means that a process can't run on such a machine.
type InvalidError struct {
	Field      string
	Value, Min int64
}

// Error names the field, its value and the least one.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("limits.%s is %d; 0 (not known) or %d and more are allowed", e.Field, e.Value, e.Min)
}

// Check returns an *InvalidError if the machine is too small.
func (m Machine) Check() error {
	if m.MemoryMB != 0 && m.MemoryMB < minMemoryMB {
		return &InvalidError{Field: "memoryMb", Value: m.MemoryMB, Min: minMemoryMB}
	}
	if m.Descriptors != 0 && m.Descriptors < minDescriptors {
		return &InvalidError{Field: "maxFds", Value: int64(m.Descriptors), Min: minDescriptors}
	}
	return nil
}

// Limits bounds what all clients together can make the process hold.
type Limits struct {
	// BodyBytes is the budget for bodies in flight; LargeBytes is the part of it that bodies above SmallBody may use, so that a crowd
	// with large bodies leaves the rest to small ones.
	BodyBytes, LargeBytes int
	// Callers is the number of connections of callers, Streams that of other instances, Others that of each further listener.
	Callers, Streams, Others int
}

// SmallBody is the size of a body up to which it may use the whole budget. A job of 200 steps without long lists is smaller.
const SmallBody = 32 << 10

// Derive returns the limits for a machine whose listeners accept bodies of up to maxBody bytes.
func Derive(m Machine, maxBody int) Limits {
	if m.MemoryMB == 0 {
		m.MemoryMB = DefaultMemoryMB
	}
	if m.Descriptors == 0 {
		m.Descriptors = DefaultDescriptors
	}
	memory := int(m.MemoryMB) << 20
	l := Limits{
		BodyBytes: max(memory/bodyShare, minBodies*maxBody),
		Callers:   min(m.Descriptors/descriptorShare, memory/connectionShare/connectionBytes),
		Streams:   min(m.Descriptors/streamShare, maxStreams),
		Others:    min(max(m.Descriptors/otherShare, minOthers), maxOthers),
	}
	l.LargeBytes = l.BodyBytes - l.BodyBytes/4
	return l
}

// The times of a connection.
const (
	// displaceAfter is how long a body or a request may have been arriving before it gives way to others while there is no room. A body
	// of 262,144 bytes takes 0.2 s over the slowest link in use, of 10 Mbit/s.
	displaceAfter = time.Second
	// waitForRoom is how long a body waits for room before it is refused; what it displaces ends well within this time.
	waitForRoom = 250 * time.Millisecond
	// lingerTime and lingerBytes bound the reading of the rest of a refused body. A connection that is closed with unread data is reset,
	// and a client that still sends may then lose the refusal.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// logInterval bounds the log to one line for each listener and reason in this time.
	logInterval = 10 * time.Second
)
