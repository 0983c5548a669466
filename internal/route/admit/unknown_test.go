package admit_test

import (
	"context"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/route/admit"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"gotest.tools/v3/assert"
)

// endsAfterCommits is a context that ends with the given number of commits, but whose Done channel is closed by its parent
// only: the deadline passes between a pause and the next check.
type endsAfterCommits struct {
	context.Context
	commits *int
	limit   int
}

func (c endsAfterCommits) Err() error {
	if *c.commits >= c.limit {
		return context.DeadlineExceeded
	}
	return c.Context.Err()
}

// failCommits makes the outcomes of the commits the given ones, the last of them for all that follow, and counts them in n.
func (f *fixture) failCommits(n *int, outcomes ...fake.CallOutcome) {
	f.store.SetOutcomes(func(operation string) fake.CallOutcome {
		if operation != "commit" {
			return fake.Delivered
		}
		*n++
		return outcomes[min(*n, len(outcomes))-1]
	})
}

// A deadline that passes right after the pause before a retry must not turn a job that may exist into a refused one.
func TestDeadlineAfterALostCommitIsNeverRefused(t *testing.T) {
	f := newFixture(t)
	commits := 0
	f.failCommits(&commits, fake.ResponseLost)
	ctx := endsAfterCommits{Context: t.Context(), commits: &commits, limit: 1}
	assert.Equal(t, f.service.Submit(ctx, caller(), spec()).Result, admit.Unknown)
	assert.Assert(t, f.jobCreated(t))
}

// The cancellation is recorded, its response lost, and the configuration then changes and can't be read any more.
func TestCancelAfterALostCommitIsNeverRefused(t *testing.T) {
	f := newFixture(t)
	commits := 0
	f.failCommits(&commits, fake.ResponseLost, fake.Delivered)
	f.source.beforeRead = func() { f.source.down = true }
	f.service.Store = changeAfterCommit{Transactor: f.store, change: func() { f.store.Put(configKey, nil) }}
	assert.Equal(t, f.service.Cancel(shortContext(t), caller()).Result, admit.Unknown)
}

// changeAfterCommit calls change after each commit.
type changeAfterCommit struct {
	store.Transactor
	change func()
}

func (c changeAfterCommit) Commit(ctx context.Context, tx store.Transaction) (int64, error) {
	defer c.change()
	return c.Transactor.Commit(ctx, tx)
}

// A peer may have recorded the cancellation although its reply is lost; the policy here is then too old to try again.
func TestRelayedCancelWithoutAnswerIsNeverRefused(t *testing.T) {
	f := newFixture(t)
	f.now = f.now.Add(4 * time.Second)
	f.service.Relay = &fakeRelay{tried: true}
	assert.Equal(t, f.service.Cancel(shortContext(t), caller()).Result, admit.Unknown)
}
