package agent_test

import (
	"testing"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"gotest.tools/v3/assert"
)

// Guards against a change of the texts that appear in logs: Restarted is printed as otherLife because of its line comment.
func TestRefusalTexts(t *testing.T) {
	texts := map[agent.Refusal]string{
		agent.OldToken: "oldToken", agent.OldRun: "oldRun", agent.PastDeadline: "pastDeadline", agent.NoRoom: "noRoom",
		agent.Unhealthy: "unhealthy", agent.Restarted: "otherLife", agent.Invalid: "invalid",
	}
	assert.Equal(t, len(texts), len(agent.RefusalValues()))
	for refusal, text := range texts {
		assert.Equal(t, refusal.String(), text)
	}
}
