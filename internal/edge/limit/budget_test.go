package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	start      = time.Unix(1_000_000, 0)
	testLimits = Limits{BodyBytes: 400_000, LargeBytes: 300_000, Callers: 3, Others: 3}
)

func ignore() {}

func grow(c *Claim, bytes int, now time.Time) bool {
	ok, _ := c.Grow(bytes, now)
	return ok
}

// Guards against a crowd with large bodies that leaves no room for the small ones of ordinary callers.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	b := NewBudget(testLimits)
	for range 3 {
		assert.Assert(t, grow(b.Claim(ignore, start), 100_000, start))
	}
	assert.Assert(t, !grow(b.Claim(ignore, start), SmallBody+1, start))
	for range 3 {
		assert.Assert(t, grow(b.Claim(ignore, start), SmallBody, start))
	}
	assert.Assert(t, !grow(b.Claim(ignore, start), SmallBody, start))
}

// Guards against slow bodies that hold the whole budget, and against displacing more of them than necessary or any that arrive fast.
func TestOldestSlowBodyGivesWay(t *testing.T) {
	b := NewBudget(testLimits)
	var claims []*Claim
	interrupted := make([]int, 3)
	for n := range 3 {
		c := b.Claim(func() { interrupted[n]++ }, start.Add(time.Duration(n)*time.Millisecond))
		assert.Assert(t, grow(c, 100_000, start))
		claims = append(claims, c)
	}
	assert.Assert(t, !grow(b.Claim(ignore, start), 100_000, start.Add(displaceAfter-1)))
	assert.DeepEqual(t, interrupted, []int{0, 0, 0})
	last := b.Claim(ignore, start.Add(displaceAfter))
	ok, returned := last.Grow(100_000, start.Add(displaceAfter))
	assert.Assert(t, !ok)
	assert.DeepEqual(t, interrupted, []int{1, 0, 0})
	assert.Assert(t, claims[0].Displaced() && !claims[0].Arrived())
	claims[0].Return()
	<-returned
	assert.Assert(t, grow(last, 100_000, start.Add(displaceAfter)))
	assert.Assert(t, claims[1].Arrived())
}

// Guards against bodies that are displaced although they are complete and their request may have an effect.
func TestCompleteBodyDoesNotGiveWay(t *testing.T) {
	b := NewBudget(testLimits)
	c := b.Claim(func() { t.Error("interrupted") }, start)
	assert.Assert(t, grow(c, 300_000, start))
	assert.Assert(t, c.Arrived())
	assert.Assert(t, !grow(b.Claim(ignore, start), 100_000, start.Add(time.Hour)))
}

// Guards against budgets that shrink or grow over time, on any order of calls.
func TestBudgetIsWholeAfterAnyCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(testLimits)
		now := start
		var claims []*Claim
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			if len(claims) == 0 || rapid.Bool().Draw(t, "new") {
				claims = append(claims, b.Claim(ignore, now))
			}
			c := rapid.SampledFrom(claims).Draw(t, "claim")
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0:
				c.Return()
			case 1:
				c.Arrived()
			default:
				grow(c, c.bytes+rapid.IntRange(0, 200_000).Draw(t, "bytes"), now)
			}
			if b.small < 0 || b.large < 0 || b.large > testLimits.LargeBytes || b.small+b.large > testLimits.BodyBytes {
				t.Fatalf("small %d, large %d", b.small, b.large)
			}
		}
		for _, c := range claims {
			c.Return()
		}
		if b.Taken() != 0 || b.leavingSmall != 0 || b.leavingLarge != 0 || b.arriving.Len() != 0 {
			t.Fatalf("left: %d, leaving %d and %d, arriving %d", b.Taken(), b.leavingSmall, b.leavingLarge, b.arriving.Len())
		}
	})
}

// Guards against defaults that a client within the limits reaches on the smallest machine, and against limits above the machine's.
func TestLimitsOfMachines(t *testing.T) {
	smallest := Derive(Machine{MemoryMB: 144, Descriptors: 3075}, 2<<20)
	assert.Equal(t, smallest, Limits{BodyBytes: 24 << 20, LargeBytes: 18 << 20, Callers: 1152, Streams: 768, Others: 96})
	for _, m := range []Machine{{}, {MemoryMB: minMemoryMB, Descriptors: minDescriptors}, {MemoryMB: 1 << 20, Descriptors: 1 << 20}} {
		assert.NilError(t, m.Check())
		l := Derive(m, 1<<20)
		assert.Assert(t, l.LargeBytes >= 3<<20 && l.LargeBytes < l.BodyBytes && l.Callers > 0 && l.Others > 0, "%+v: %+v", m, l)
	}
	assert.ErrorContains(t, Machine{MemoryMB: -1}.Check(), "memoryMb is -1")
	assert.ErrorContains(t, Machine{Descriptors: 20}.Check(), "maxFds is 20")
}
