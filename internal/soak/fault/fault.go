package fault

import "time"

// Fault is one kind of disruption.
type Fault interface{ fault() }

// OwnerKilled kills the instance that decides and starts it again after the pause.
type OwnerKilled struct{ Pause time.Duration }

// OwnerFrozen suspends the instance that decides.
type OwnerFrozen struct{ For time.Duration }

// OwnerStopped sends SIGTERM to the instance that decides and starts it again after the pause.
type OwnerStopped struct{ Pause time.Duration }

// InstancesKilled kills a share of the instances.
type InstancesKilled struct {
	Share float64
	Pause time.Duration
}

// InstancesRolled stops and starts a share of the instances one after the other.
type InstancesRolled struct {
	Share float64
	Gap   time.Duration
}

// Reloaded sends SIGHUP to a share of the instances.
type Reloaded struct{ Share float64 }

// StoreAway refuses or holds the calls of a share of the instances; if it is 1, workers can't write either.
type StoreAway struct {
	Share  float64
	Silent bool
	For    time.Duration
	// Pauses makes leases pause meanwhile rather than expire.
	Pauses bool
}

// StoreSlow delays all calls.
type StoreSlow struct{ By, For time.Duration }

// StoreLost loses a share of the answers.
type StoreLost struct {
	Share float64
	For   time.Duration
}

// HistoryDropped discards the store's history.
type HistoryDropped struct{}

// WorkersCrashed crashes a share of the workers, which stay away if Pause is zero.
type WorkersCrashed struct {
	Share  float64
	Pause  time.Duration
	SameID bool
}

// WorkersDrained lets a share of the workers leave after the notice; new ones come in their place.
type WorkersDrained struct {
	Share  float64
	Notice time.Duration
}

// WorkersCut cuts a share of the workers off from everything.
type WorkersCut struct {
	Share float64
	For   time.Duration
}

// WorkersFaulty makes a share of the workers fail tasks, refuse calls, answer slowly or carry out orders late.
type WorkersFaulty struct {
	Share, Unhealthy, Late float64
	Fails                  bool
	Slow, For              time.Duration
}

// CentreCut cuts one data centre off from the others and from the store.
type CentreCut struct {
	Centre int
	OneWay bool
	For    time.Duration
}

// ChannelsReset resets or silences the open connections of a share of all links.
type ChannelsReset struct {
	Share  float64
	Silent bool
}

// Configured publishes a new version of the configuration.
type Configured struct{}

// Evacuated empties a data centre for a time.
type Evacuated struct {
	Centre int
	For    time.Duration
}

// PowerLost kills all instances at once and starts them again after the pause.
type PowerLost struct{ Pause time.Duration }

func (OwnerKilled) fault()     {}
func (OwnerFrozen) fault()     {}
func (OwnerStopped) fault()    {}
func (InstancesKilled) fault() {}
func (InstancesRolled) fault() {}
func (Reloaded) fault()        {}
func (StoreAway) fault()       {}
func (StoreSlow) fault()       {}
func (StoreLost) fault()       {}
func (HistoryDropped) fault()  {}
func (WorkersCrashed) fault()  {}
func (WorkersDrained) fault()  {}
func (WorkersCut) fault()      {}
func (WorkersFaulty) fault()   {}
func (CentreCut) fault()       {}
func (ChannelsReset) fault()   {}
func (Configured) fault()      {}
func (Evacuated) fault()       {}
func (PowerLost) fault()       {}

// Entry is a fault and the time after the start of the traffic at which it comes.
type Entry struct {
	At    time.Duration
	Fault Fault
}
