package abort

import (
	"testing"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"gotest.tools/v3/assert"
)

// The owner's loop may panic while it holds the lock on its state; the instance must not keep running without making
// decisions.
func TestPanicInAComponentEndsTheProcess(t *testing.T) {
	codes := make(chan int, 1)
	exit = func(code int) { codes <- code }
	components := Group{Log: event.Discard()}
	components.Go("loop", func() { panic("index out of range") })
	components.Wait()
	assert.Equal(t, <-codes, exitCode)
	ran := false
	components.Go("loop", func() { ran = true })
	components.Wait()
	assert.Assert(t, ran)
	assert.Equal(t, len(codes), 0)
}
