package losses

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=Cause -json -text -transform=title-lower

// Cause is what a delay, a refusal or discarded work is attributed to.
type Cause int

// The causes.
const (
	// Unexplained is what no line of the logs explains.
	Unexplained Cause = iota
	// StoreAway means that the key-value store did not answer an instance, or not in time.
	StoreAway
	// OwnerChanging means that no instance decided.
	OwnerChanging
	// CutOff means that several workers of a data centre did not answer.
	CutOff
	FleetFull
	RoomReserved
	Scattered
	StopAwaited
	// RunFailed means that a run failed, by the fault of the job or of its worker.
	RunFailed
	// WorkerSilent means that a worker was slow, did not answer or was leaving.
	WorkerSilent
	// Preempted means that a run was stopped for another job.
	Preempted
	// EstimateWrong means that a task was expected to take longer than its worker was there for.
	EstimateWrong
	// EndNotShown means that the job had ended, but its end was not recorded or not shown to the caller yet.
	EndNotShown
	// ClientGone means that the caller cancelled the job.
	ClientGone
)
