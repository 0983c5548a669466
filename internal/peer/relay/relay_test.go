package relay

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/peer/link"
	"github.com/lentildeck/lentildeck/internal/route/admit"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// A repeating job may be submitted at an instance that is cut off from the store; by default, CBOR drops fractions of a
// second.
func TestRelayedJobKeepsItsTimesToTheMillisecond(t *testing.T) {
	start := time.UnixMilli(1764835200809).UTC()
	call := admit.Call{Kind: admit.Submit, Spec: &work.Spec{Job: "a", Repeat: &work.Repeat{Count: 2, Start: start, Interval: 2500 * time.Millisecond}}}
	data, err := link.Codec{}.Marshal(&call)
	assert.NilError(t, err)
	var got admit.Call
	assert.NilError(t, link.Codec{}.Unmarshal(data, &got))
	assert.DeepEqual(t, got, call)
}
