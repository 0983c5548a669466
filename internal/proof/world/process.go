package world

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/policy"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
)

// Process is one process of an instance, and its access to the store, the list of workers, the configuration and the workers.
type Process struct {
	world  *World
	name   string
	parent context.Context
	kill   context.CancelFunc
	done   chan struct{}
	owns   func() bool
	// dead is true once the process was lost: nothing that it sends arrives.
	dead           bool
	cutFromStore   time.Time
	cutFromWorkers time.Time
	heldUntil      time.Time
	// leaseEnds has the expiry of each lease that the process was granted, ttl is their time to live.
	ttl       time.Duration
	leaseEnds map[int64]time.Time
}

var (
	_ store.Transactor = (*Process)(nil)
	_ agent.Client     = (*Process)(nil)
	_ policy.Source    = (*Process)(nil)
)

func (w *World) startProcess(ctx context.Context, name string) {
	life, kill := context.WithCancel(ctx)
	p := &Process{world: w, name: name, parent: ctx, kill: kill, done: make(chan struct{}), leaseEnds: make(map[int64]time.Time)}
	w.processes = append(w.processes, p)
	w.notef("%s starts", name)
	p.owns = w.cfg.Program(life, p, p.done)
}

// Name returns the name of the instance.
func (p *Process) Name() string { return p.name }

// Note adds a line of the process to the journal.
func (p *Process) Note(text string) { p.world.log(p.name + " " + text) }

// Read returns the configuration.
func (p *Process) Read(ctx context.Context) (policy.Snapshot, error) {
	return ask[policy.Snapshot](ctx, p, "", "read configuration", func(c *call, _ time.Time) bool {
		c.set(p.world.policy(), nil)
		return true
	})
}

// policy is the configuration as of now.
func (w *World) policy() policy.Snapshot {
	all := &policy.Policy{Version: 1}
	for _, ws := range w.workspaces {
		all.Workspaces = append(all.Workspaces, policy.Workspace{Workspace: ws.Workspace})
	}
	for _, q := range w.cfg.Queues {
		if !w.removedQueues[q.Name] {
			all.Queues = append(all.Queues, policy.Queue{Queue: q})
		}
	}
	all.Prepare()
	evacuated := make(map[string]bool)
	for centre, since := range w.evacuated {
		evacuated[centre] = !since.IsZero()
	}
	return policy.Snapshot{Policy: all, Evacuated: evacuated}
}

// Workers lists the workers.
func (p *Process) Workers(ctx context.Context) ([]group.WorkerInfo, error) {
	return ask[[]group.WorkerInfo](ctx, p, "", "list workers", func(c *call, _ time.Time) bool {
		c.set(p.world.list(), nil)
		return true
	})
}

// Item returns one key.
func (p *Process) Item(ctx context.Context, key string) (store.Item, error) {
	return ask[store.Item](ctx, p, "", "item "+key, func(c *call, _ time.Time) bool {
		item, err := p.world.store.Item(context.Background(), key)
		c.set(item, err)
		return true
	})
}

// found is the result of a read of several keys or changes.
type found struct {
	items   []store.Item
	changes []store.Change
	asOf    int64
}

// Range returns all keys below the prefix.
func (p *Process) Range(ctx context.Context, prefix string) ([]store.Item, int64, error) {
	result, err := ask[found](ctx, p, "", "range "+prefix, func(c *call, _ time.Time) bool {
		items, asOf, err := p.world.store.Range(context.Background(), prefix)
		c.set(found{items: items, asOf: asOf}, err)
		return true
	})
	return result.items, result.asOf, err
}

// watch is an open watch.
type watch struct {
	call   *call
	prefix string
	after  int64
	until  time.Time
}

// Changes waits for changes below the prefix.
func (p *Process) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	w := p.world
	result, err := ask[found](ctx, p, "", "watch "+prefix, func(c *call, now time.Time) bool {
		open := &watch{call: c, prefix: prefix, after: after, until: now.Add(wait)}
		w.watches = append(w.watches, open)
		w.schedule(open.until, w.answerWatches)
		w.answerWatches(now)
		return false
	})
	if err != nil {
		return nil, after, err
	}
	return result.changes, result.asOf, nil
}

// answerWatches answers the watches that have changes or have waited long enough.
func (w *World) answerWatches(now time.Time) {
	w.watches = slices.DeleteFunc(w.watches, func(open *watch) bool {
		changes, upTo, err := w.store.Changes(context.Background(), open.prefix, open.after, 0)
		if len(changes) == 0 && now.Before(open.until) {
			return false
		}
		open.call.set(found{changes: changes, asOf: upTo}, err)
		w.answer(open.call, now)
		return true
	})
}

// acquireName is the name of the commit that creates the owner's key.
const acquireName = "commit owner"

// commitName describes a transaction.
func commitName(tx store.Transaction) string {
	var b strings.Builder
	b.WriteString("commit")
	for _, write := range tx.Writes {
		b.WriteString(" " + write.Key)
	}
	for _, key := range tx.Deletes {
		b.WriteString(" -" + key)
	}
	return b.String()
}

// Commit executes a transaction.
func (p *Process) Commit(ctx context.Context, tx store.Transaction) (int64, error) {
	w := p.world
	name := commitName(tx)
	return ask[int64](ctx, p, "", name, func(c *call, now time.Time) bool {
		revision, err := w.store.Commit(context.Background(), tx)
		c.set(revision, err)
		if err != nil {
			return true
		}
		w.notef("%s: %s", p.name, name)
		w.checkRecords(tx, now)
		w.answerWatches(now)
		return true
	})
}

// Grant creates a lease, which ends unless it is renewed in time.
func (p *Process) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	w := p.world
	return ask[int64](ctx, p, "", "grant", func(c *call, now time.Time) bool {
		lease, err := w.store.Grant(context.Background(), ttl)
		p.ttl = ttl
		p.extend(lease, now)
		c.set(lease, err)
		return true
	})
}

// extend lets the lease live for its time to live from now.
func (p *Process) extend(lease int64, now time.Time) {
	until := now.Add(p.ttl)
	p.leaseEnds[lease] = until
	p.world.schedule(until, func(now time.Time) {
		if !p.leaseEnds[lease].After(now) {
			p.world.store.ExpireLease(lease)
			p.world.answerWatches(now)
		}
	})
}

// Renew extends a lease.
func (p *Process) Renew(ctx context.Context, lease int64) error {
	_, err := p.do(ctx, "", "renew", func(c *call, now time.Time) bool {
		err := p.world.store.Renew(context.Background(), lease)
		c.set(nil, err)
		if err == nil {
			p.extend(lease, now)
		}
		return true
	})
	return err
}

// Revoke ends a lease.
func (p *Process) Revoke(ctx context.Context, lease int64) error {
	_, err := p.do(ctx, "", "revoke", func(c *call, now time.Time) bool {
		c.set(nil, p.world.store.Revoke(context.Background(), lease))
		p.world.answerWatches(now)
		return true
	})
	return err
}

// submit stores a job as an instance would.
func (w *World) submit(j *Job, now time.Time) {
	j.Spec.Accepted, j.Spec.Config = now, w.queueConfig(j.Spec.Queue)
	data, err := j.Spec.Encode()
	if err != nil {
		panic("world: " + err.Error())
	}
	w.notef("job %s is accepted", j.Spec.Job)
	w.addTasks(j)
	w.checks.jobs[j.Spec.Job] = &jobState{job: j}
	w.store.Put(work.SpecKey(j.Spec.Job), data)
	w.store.Put(work.WaitKey(j.Spec.Queue, j.Spec.Job), nil)
	w.answerWatches(now)
}

// queueConfig returns the configuration of the queue as a job is accepted with.
func (w *World) queueConfig(name string) *work.QueueConfig {
	for _, q := range w.cfg.Queues {
		if q.Name == name {
			return &work.QueueConfig{Service: q.Service, Priority: q.Priority, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, Target: q.Target}
		}
	}
	return nil
}
