package group

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
)

// Decision is a decision log entry.
type Decision struct {
	Kind   DecisionKind
	Job    string
	Worker string
	Task   string
	Run    int
	Text   string
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
