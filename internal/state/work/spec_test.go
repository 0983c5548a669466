package work_test

import (
	"math"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

func TestCheckRefusesInvalidRepeat(t *testing.T) {
	for _, c := range []struct {
		name   string
		repeat work.Repeat
		ok     bool
	}{
		{"daily for a week", work.Repeat{Count: 7, Interval: 24 * time.Hour}, true},
		{"no occurrence", work.Repeat{Count: 0, Interval: time.Hour}, false},
		{"negative interval", work.Repeat{Count: 2, Interval: -time.Hour}, false},
		{"more tasks than one job may have", work.Repeat{Count: work.MaxTasks, Interval: time.Second}, false},
		{"span exceeds time.Duration", work.Repeat{Count: 1000, Interval: math.MaxInt64 / 500}, false},
	} {
		spec := work.Spec{Steps: []work.Step{{Count: 2}}, Repeat: &c.repeat}
		assert.Equal(t, spec.Check() == nil, c.ok, c.name)
	}
}
