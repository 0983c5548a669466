package fault_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/soak/fault"
	"gotest.tools/v3/assert"
)

func TestDaysAreDrawnFromTheSeed(t *testing.T) {
	for _, name := range fault.Names() {
		for seed := range uint64(20) {
			one, err := fault.Draw(name, rand.New(rand.NewPCG(seed, 1)), 20*time.Second, 3)
			assert.NilError(t, err)
			two, err := fault.Draw(name, rand.New(rand.NewPCG(seed, 1)), 20*time.Second, 3)
			assert.NilError(t, err)
			assert.DeepEqual(t, one, two)
			for i, entry := range one {
				assert.Equal(t, entry.At >= 0 && (i == 0 || one[i-1].At <= entry.At), true)
			}
		}
	}
	_, err := fault.Draw("none", nil, 0, 0)
	assert.ErrorContains(t, err, `day "none" is not one of away, calm`)
}
