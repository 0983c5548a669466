package daemon

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/peer/link"
	"gotest.tools/v3/assert"
)

func TestProofThatNothingWasDrained(t *testing.T) {
	asked := time.Unix(1000, 0)
	silent := time.Hour
	for _, row := range []struct {
		name    string
		answers []*link.StatusReply
		proof   time.Time
		ok      bool
	}{
		{"there are no peers", nil, time.Time{}, false},
		{"one has recently reached the store", []*link.StatusReply{{Revision: 4, ConfirmedAgo: time.Second}, nil}, asked.Add(-time.Second), true},
		{"all answer, none reaches the store", []*link.StatusReply{{Revision: 4, ConfirmedAgo: silent}, {Revision: 3, ConfirmedAgo: silent}}, asked, true},
		{"one does not answer, none reaches the store", []*link.StatusReply{{Revision: 4, ConfirmedAgo: silent}, nil}, asked.Add(-silent), true},
		{"one has a higher revision", []*link.StatusReply{{Revision: 5, ConfirmedAgo: 0}}, time.Time{}, false},
		{"one has a command with unknown outcome", []*link.StatusReply{{Revision: 4, ConfirmedAgo: silent, Applying: true}}, time.Time{}, false},
		{"confirmation of an older revision proves nothing", []*link.StatusReply{{Revision: 3, ConfirmedAgo: 0}, nil}, time.Time{}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			proof, ok := proofTime(row.answers, 4, asked)
			assert.Equal(t, ok, row.ok)
			assert.Equal(t, proof, row.proof)
			if ok && asked.Sub(proof) >= silent {
				assert.Equal(t, asked.Sub(proof) > maxProofAge, true, "too old to permit a start")
			}
		})
	}
}
