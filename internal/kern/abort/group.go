package abort

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/sourcegraph/conc"
)

// exitCode is the exit code that the Go runtime uses after a panic; it differs from that of an ordinary failure.
const exitCode = 2

// exit ends the process; tests replace it.
var exit = os.Exit

// Group is a group of components that are started and awaited together.
type Group struct {
	// Log receives an event about a panic before the process ends.
	Log   *event.Log
	group conc.WaitGroup
}

// Go runs the component in a goroutine; a panic in it ends the process.
func (g *Group) Go(component string, run func()) {
	g.group.Go(func() {
		defer g.exitOnPanic(component)
		run()
	})
}

// Wait returns when all components have ended.
func (g *Group) Wait() { g.group.Wait() }

// exitOnPanic is deferred in a component; it ends the process if the component panics.
func (g *Group) exitOnPanic(component string) {
	cause := recover()
	if cause == nil {
		return
	}
	g.Log.Emit(event.PartFailed, event.Fields{"part": component, "error": fmt.Sprint("panic: ", cause), "stack": string(debug.Stack())})
	exit(exitCode)
}
