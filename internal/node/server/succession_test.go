package server

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// succeed ends the owner at a time after the start, and returns how long the installation was without one.
func succeed(t *testing.T, size int, after time.Duration, silent bool) (took time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := settled(t, size)
		time.Sleep(after)
		last := f.owner(nil)
		f.store.silent.Store(silent)
		ended := time.Now()
		f.kills[last]()
		f.owner(last)
		took = time.Since(ended)
	})
	return took
}

// Guards against an owner that is replaced late, as each of many instances watches for longer: with watches that answer, and with watches
// that are silent, which the shortest of them find out.
func TestOwnerIsReplacedAsSoonAmongManyInstances(t *testing.T) {
	for after := time.Duration(0); after < 6*time.Second; after += 700 * time.Millisecond {
		for _, size := range []int{8, 41} {
			assert.Check(t, succeed(t, size, after, false) <= 10*time.Millisecond, "%d instances, after %s", size, after)
			took := succeed(t, size, after, true)
			t.Logf("%d instances, after %s, silent: %s", size, after, took)
			assert.Check(t, took <= watchAndTimeout, "%d instances, after %s: %s", size, after, took)
		}
	}
}

// watchAndTimeout is how long one of few instances takes to notice that its watch is silent: a watch of a second, a second without an
// answer and a delay before the next read.
const watchAndTimeout = 2200 * time.Millisecond
