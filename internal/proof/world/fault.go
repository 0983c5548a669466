package world

import "time"

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=Fault -transform=title-lower

// Fault is a disturbance that begins at a step: at the call that it names, or at the process that made it.
type Fault int

// The faults. Unanswered, Refused and Late concern the call alone.
const (
	NoFault Fault = iota
	// KilledBefore ends the process before the call has left, KilledAfter once it has left, KilledLate lets it be executed
	// lateDelay later, under the next owner.
	KilledBefore
	KilledAfter
	KilledLate
	// Stopped ends the process with grace.
	Stopped
	// Unanswered executes the call and breaks the connection; Refused has no effect; Late executes it lateDelay later.
	Unanswered
	Refused
	Late
	// CutFromStore, CutFromWorkers and CutOff keep calls and answers from passing for cutFor; Held delays all of them for as long.
	CutFromStore
	CutFromWorkers
	CutOff
	Held
	// RestartedBefore restarts the worker that the call is for just before it is executed, RestartedAfter just after; the answer
	// comes in both cases.
	RestartedBefore
	RestartedAfter
)

const (
	// lateDelay outlasts an owner's lease, cutFor too.
	lateDelay = 2500 * time.Millisecond
	cutFor    = 3 * time.Second
	// restartAfter is how long after its loss a process of the instance starts again.
	restartAfter = time.Second
)

// begin lets the fault act on the process.
func (w *World) begin(fault Fault, p *Process, now time.Time) {
	w.disturbed(now)
	switch fault {
	case KilledBefore, KilledAfter, KilledLate:
		w.lose(p, now)
	case Stopped:
		p.kill()
		w.scheduleRestart(p, now)
	case CutFromStore, CutFromWorkers, CutOff:
		w.cut(p, fault, now.Add(cutFor))
	case Held:
		p.heldUntil = now.Add(cutFor)
		w.disturbed(p.heldUntil)
	default:
	}
	if fault == Late || fault == KilledLate {
		w.disturbed(now.Add(lateDelay))
	}
}

// restart ends the worker of the call with all that runs there, and lets it come back under its ID at once.
func (w *World) restart(c *call, now time.Time) {
	if o := w.byID[c.worker]; o != nil && o.up {
		o.crash(0, now)
		o.boot(now)
	}
}

// lose ends the process without grace.
func (w *World) lose(p *Process, now time.Time) {
	if p.dead {
		return
	}
	w.notef("%s is killed", p.name)
	p.dead = true
	p.kill()
	w.scheduleRestart(p, now)
}

// scheduleRestart lets the instance run a new process after a while.
func (w *World) scheduleRestart(p *Process, now time.Time) {
	w.disturbed(now.Add(restartAfter))
	w.schedule(now.Add(restartAfter), func(time.Time) {
		<-p.done
		p.dead = true
		w.startProcess(p.parent, p.name)
	})
}

// cut keeps calls of the process and their answers from passing until the time.
func (w *World) cut(p *Process, fault Fault, until time.Time) {
	w.disturbed(until)
	if fault != CutFromWorkers {
		p.cutFromStore = until
	}
	if fault != CutFromStore {
		p.cutFromWorkers = until
	}
	w.schedule(until, func(time.Time) { w.notef("%s is connected again", p.name) })
}

// cutFrom reports whether the call of the process can't pass.
func (p *Process) cutFrom(c *call) bool {
	until := p.cutFromWorkers
	if c.worker == "" {
		until = p.cutFromStore
	}
	return time.Now().Before(until)
}
