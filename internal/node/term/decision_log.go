package term

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/place/group"
)

func (t *term) logDecision(d group.Decision) {
	t.Log.Emit(event.RunChanged, t.decisionFields(d))
	t.Meter.Count("run." + d.Kind.String())
}

// decisionFields returns the fields of a decision's log line; those that don't apply are left out.
func (t *term) decisionFields(d group.Decision) event.Fields {
	fields := event.Fields{"what": d.Kind.String(), "job": d.Job, "token": t.token}
	for name, text := range map[string]string{"worker": d.Worker, "task": d.Task, "for": d.For, "why": d.Text} {
		if text != "" {
			fields[name] = text
		}
	}
	for name, duration := range map[string]time.Duration{"waited": d.Waited, "took": d.Took, "estimate": d.Estimate, "overdue": d.Overdue, "remaining": d.Remaining} {
		if duration != 0 {
			fields[name] = duration.String()
		}
	}
	for name, number := range map[string]int{"run": d.Run, "tasks": d.Tasks} {
		if number != 0 {
			fields[name] = number
		}
	}
	if d.Cause != group.NoCause {
		fields["cause"] = d.Cause.String()
	}
	for name, number := range map[string]float64{"coreSeconds": d.CoreSeconds, "speed": d.Speed} {
		if number != 0 {
			fields[name] = number
		}
	}
	if d.Kind == group.WorkerCrashed {
		fields["crashes"], fields["suspected"] = d.Crashes, d.Suspected
	}
	if d.Kind == group.WorkerRestarted || d.Kind == group.ExitHeard {
		fields["born"], fields["previous"] = d.Incarnation, d.Previous
	}
	if d.Kind == group.RunPlaced {
		fields["tier"], fields["lateness"] = d.Tier, d.Lateness
	}
	return fields
}
