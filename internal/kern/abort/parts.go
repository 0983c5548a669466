package abort

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/sourcegraph/conc"
)

// exitCode tells a panic from an ordinary failure, as the runtime does.
const exitCode = 2

// exit ends the process; tests replace it.
var exit = os.Exit

// Parts is a group of goroutines that belong to one owner.
type Parts struct {
	// Log is where a panic is written before the process ends.
	Log   *event.Log
	group conc.WaitGroup
}

// Go runs the part; a panic in it ends the process.
func (p *Parts) Go(component string, run func()) {
	p.group.Go(func() {
		defer p.exitOnPanic(component)
		run()
	})
}

// Wait returns once all parts have ended.
func (p *Parts) Wait() { p.group.Wait() }

// end ends the process if the part that it is deferred in panics.
func (p *Parts) exitOnPanic(component string) {
	cause := recover()
	if cause == nil {
		return
	}
	p.Log.Emit(event.PartFailed, event.Fields{"part": component, "error": fmt.Sprint("panic: ", cause), "stack": string(debug.Stack())})
	exit(exitCode)
}
