package group

import "time"

// Action is an order or a log entry that the caller must carry out.
type Action interface{ action() }

// StartOrder asks a worker to start a task; its intent record is durable.
type StartOrder struct {
	Member     *Member
	Worker     string
	Task       string
	Run        int
	Payload    string
	Checkpoint string
}

// StopOrder asks a worker to stop a task, and to refuse a later start of the same run.
type StopOrder struct {
	Worker string
	Task   string
	Run    int
}

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=DecisionKind -transform=title-lower

// DecisionKind is the kind of a decision log entry.
type DecisionKind int

// The kinds of decision log entries.
const (
	RunPlaced DecisionKind = iota
	RunStopped
	RunBroken
	RunDone
	JobOver
	JobWaits
	WorkerAvoided
	WorkerLapsed
	WorkerRestarted
	// WorkerCrashed means that a worker crashed under a task.
	WorkerCrashed
	// RunHeld means that a task of a silent worker counts as alive until its lease has certainly expired.
	RunHeld
	// WorkerReplaced means that another worker has taken the address of one, so what ran there has ended.
	WorkerReplaced
	// ExitsPending means that a worker has more exits than it lists at a time, so tasks that it does not list may have ended.
	ExitsPending
	// ExitHeard means that an exit was applied that a worker has listed to an earlier owner.
	ExitHeard
)

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=Cause -transform=title-lower

// Cause is why a run was placed or stopped, or why a job waits.
type Cause int

// The causes. FreeRoom and ReservedRoom are those of placements, FleetFull to RetryDelayed those of waits, and the others those
// of stops.
const (
	NoCause Cause = iota
	FreeRoom
	ReservedRoom
	// FleetFull means that fewer accelerators are free than the task group needs.
	FleetFull
	// RoomReserved means that the free room is reserved for others or set aside for quick jobs.
	RoomReserved
	// Scattered means that enough accelerators are free, but not where all tasks fit.
	Scattered
	// StopAwaited means that other runs were stopped and still hold the room.
	StopAwaited
	// RetryDelayed means that the task group failed on workers that could run it, and returns to them after a delay.
	RetryDelayed
	Preempted
	Cancel
	JobFinished
	MemberEnded
	StartUnanswered
	WorkerLeaving
	// OutlastsWorker means that the worker leaves before the estimated end of the task.
	OutlastsWorker
	NoProgress
	SlowWorker
	// WorkerChanged means that the worker can't take a task any more whose start was not sent: it has too little room or has
	// restarted, perhaps as another kind.
	WorkerChanged
	// WorkspaceCapped means that the task group's workspace would have more running than its cap.
	WorkspaceCapped
)

// Decision is a decision log entry; fields that don't apply are zero.
type Decision struct {
	Kind   DecisionKind
	Job    string
	Worker string
	Task   string
	Run    int
	Cause  Cause
	// For is the job that the room is for.
	For string
	// Tasks is the number of tasks placed, Tier and Lateness are the inputs of their order.
	Tasks    int
	Tier     int
	Lateness int
	// Waited is how long the task group had been ready, Took how long the run took, Estimate how long it was to take.
	Waited   time.Duration
	Took     time.Duration
	Estimate time.Duration
	// Overdue is how much later the end was known than expected, because the worker was silent; Speed is that of the slowest
	// worker of the run, 1 for an average one.
	Overdue time.Duration
	Speed   float64
	// Remaining is the time until a held task counts as dead.
	Remaining time.Duration
	// Incarnation and Previous are the incarnations of a restarted worker after and before the restart. If an exit was heard, they are the
	// worker's present one and the one that listed the exit.
	Incarnation int64
	Previous    int64
	// Crashes is how many workers have crashed under the task, Suspected how many of these crashes it may have caused.
	Crashes   int
	Suspected int
	// CoreSeconds is the work that was discarded.
	CoreSeconds float64
	Text        string
}

func (StartOrder) action() {}
func (StopOrder) action()  {}
func (Decision) action()   {}

func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }

// Actions returns the actions that were decided since the last call, in their order.
func (e *Engine) Actions() []Action {
	out := e.actions
	e.actions = nil
	return out
}
