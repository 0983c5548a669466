package group_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
)

// BenchmarkDecideUneven measures BenchmarkDecide's decision with one slow worker in four, as searches then also sort by speed.
func BenchmarkDecideUneven(b *testing.B) {
	for name, slow := range map[string]float64{"alike": 1, "uneven": 0.55} {
		b.Run(name, func(b *testing.B) {
			e, now := newFullEngine(350, 450)
			var known []group.KnownSpeed
			for i, info := range fullWorkers(350) {
				known = append(known, group.KnownSpeed{Worker: info.ID, Incarnation: 1, Speed: 1, Certainty: 0.9})
				if i%4 == 0 {
					known[i].Speed = slow
				}
			}
			e.InheritSpeeds(known)
			b.ResetTimer()
			for range b.N {
				now = now.Add(time.Millisecond)
				e.Decide(true, now)
			}
		})
	}
}
