package term

import (
	"context"
	"fmt"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/peer/grants"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
)

const (
	// predecessorTimeout limits the question to one earlier owner.
	predecessorTimeout = 500 * time.Millisecond
	// predecessorAttempts is how often it is asked, as an answer may be lost.
	predecessorAttempts = 3
	// maxPredecessors limits how many earlier owners are asked in turn; the last one before this term counts.
	maxPredecessors = 4
	// historyWait is the wait of a watch that has something to return at once.
	historyWait = 100 * time.Millisecond
	// maxExitsBytes limits the exits in one message; exitBytes is what one takes beside its checkpoint.
	maxExitsBytes = 1 << 20
	exitBytes     = 256
)

// Predecessors gives access to the leases that earlier owners have granted.
type Predecessors interface {
	// Grants asks the instance of that name; ctx must have a deadline.
	Grants(ctx context.Context, instance string, request *grants.Request) (*grants.Reply, error)
	// Keep leaves exits with the instance at the address, KeptExits asks it for those that earlier owners have left; ctx must have a
	// deadline.
	Keep(ctx context.Context, address string, exits *grants.Exits) (*grants.Kept, error)
	KeptExits(ctx context.Context, address string, request *grants.Request) (*grants.Exits, error)
}

// pastTerm is what remains of a term that grants no more leases.
type pastTerm struct {
	token int64
	// revision is a revision of the store at which the term was certainly not over.
	revision int64
	leases   group.InheritedLeases
	// exits are those that may not be on record.
	exits []group.WorkerExit
}

// close makes the term grant no more leases, and returns those that it has granted.
func (t *term) close() *pastTerm {
	t.state.Lock()
	defer t.state.Unlock()
	t.closed = true
	return &pastTerm{token: t.token, revision: t.ownedAt, leases: t.engine.Leases(), exits: append(t.engine.UnrecordedExits(), t.heardExits...)}
}

// reply reports the term to a successor.
func (p *pastTerm) reply(now time.Time) *grants.Reply {
	others := max(p.leases.Others.Sub(now), 0)
	reply := &grants.Reply{Token: p.token, Revision: p.revision, Others: others, ByWorker: make(map[string]time.Duration)}
	for id, until := range p.leases.ByWorker {
		if remaining := max(until.Sub(now), 0); remaining != others {
			reply.ByWorker[id] = remaining
		}
	}
	reply.Exits = limitExits(p.exits)
	return reply
}

// limitExits returns as many of the exits as fit into one message.
func limitExits(exits []group.WorkerExit) []group.WorkerExit {
	size := 0
	for i, x := range exits {
		if size += exitBytes + len(x.Exit.Checkpoint); size > maxExitsBytes {
			return exits[:i]
		}
	}
	return exits
}

// Grants ends a term of this instance that is older than the request, and reports the leases of its last term.
func (e *Elector) Grants(_ context.Context, request *grants.Request) (*grants.Reply, error) {
	e.mu.Lock()
	t, past := e.current, e.past
	e.mu.Unlock()
	if t != nil && t.token < request.Token {
		t.end(&fencedError{by: fmt.Sprintf("by the owner with token %d", request.Token)})
		past = t.close()
	}
	if past == nil || past.token >= request.Token {
		return &grants.Reply{}, nil
	}
	return past.reply(e.Now()), nil
}

// inheritLeases asks the last owner before this term which leases it has granted, and applies its reply. It closes asked once the owner
// has replied or the first attempt has failed.
func (t *term) inheritLeases(ctx context.Context, asked chan<- struct{}) {
	for attempt := range predecessorAttempts {
		last := t.inheritFromLast(ctx)
		if attempt == 0 {
			close(asked)
		}
		if last || !pause.For(ctx, t.jitter(storeRetryDelay)) {
			return
		}
	}
}

// collectReports collects what earlier owners have left with other instances. Once asked is closed too, all reports of earlier owners
// are complete; the workers are known by now, so the instances that keep exits are too.
func (t *term) collectReports(ctx context.Context, asked <-chan struct{}) {
	seen := t.collectExits(ctx)
	select {
	case <-ctx.Done():
		return
	case <-asked:
	}
	t.state.Lock()
	t.engine.ReportsComplete()
	t.state.Unlock()
	t.notify()
	if seen {
		// What others have seen of the owner's key may shorten times that were computed without it.
		t.inheritBound(ctx)
		t.inheritRecord(ctx)
	}
}

// inheritFromLast asks earlier owners until one is the last before this term, and reports whether it has replied.
func (t *term) inheritFromLast(ctx context.Context) bool {
	instance := t.predecessor
	for asked := 0; asked < maxPredecessors && instance != ""; asked++ {
		last, later, err := t.inheritFrom(ctx, instance)
		if err != nil {
			t.Log.Emit(event.LeasesInherited, event.Fields{"token": t.token, "from": instance, "error": err.Error()})
		}
		if last || err != nil {
			return last
		}
		instance = later
	}
	return false
}

// inheritFrom applies the reply of one earlier owner. If it was not the last one, it returns the name of the last one.
func (t *term) inheritFrom(ctx context.Context, instance string) (last bool, later string, err error) {
	reply, err := t.askPredecessor(ctx, instance)
	if err != nil {
		return false, "", err
	}
	now := t.Now()
	t.state.Lock()
	t.hearExits(reply.Exits, now)
	t.state.Unlock()
	t.notify()
	owners, err := t.ownersSince(ctx, reply.Revision)
	switch {
	case err != nil:
		return false, "", err
	case len(owners) > 0:
		return false, owners[len(owners)-1].Instance, nil
	default:
		t.applyGrants(instance, reply, now)
		return true, "", nil
	}
}

// askPredecessor asks one earlier owner, which may be this instance.
func (t *term) askPredecessor(ctx context.Context, instance string) (*grants.Reply, error) {
	request := &grants.Request{Token: t.token}
	call, done := context.WithTimeout(ctx, predecessorTimeout)
	defer done()
	var reply *grants.Reply
	var err error
	switch {
	case instance == t.Instance:
		reply, err = t.Grants(call, request)
	case t.Predecessors == nil:
		return nil, &grants.UnknownInstanceError{Instance: instance}
	default:
		reply, err = t.Predecessors.Grants(call, instance, request)
	}
	if err == nil && reply.Token == 0 {
		return nil, &noTermError{instance: instance}
	}
	return reply, err
}

// noTermError means that an instance remembers no term, as it has restarted.
type noTermError struct{ instance string }

// Error names the instance.
func (e *noTermError) Error() string { return "instance " + e.instance + " remembers no term" }

// ownersSince returns the owners from after the revision until before this term. It reads again after failures that may pass.
func (t *term) ownersSince(ctx context.Context, revision int64) ([]ownerRecord, error) {
	owners, err := t.readOwners(ctx, revision)
	for mayRetry(err) && pause.For(ctx, t.jitter(storeRetryDelay)) {
		owners, err = t.readOwners(ctx, revision)
	}
	return owners, err
}

func (t *term) readOwners(ctx context.Context, revision int64) ([]ownerRecord, error) {
	var owners []ownerRecord
	for revision < t.token {
		call, done := context.WithTimeout(ctx, storeTimeout)
		changes, upTo, err := t.Store.Changes(call, work.OwnerKey, revision, historyWait)
		done()
		if err != nil {
			return nil, err
		}
		for _, change := range changes {
			if change.Key == work.OwnerKey && !change.Deleted && change.Revision < t.token {
				owners = append(owners, t.decodeOwner(change.Item))
			}
		}
		if upTo <= revision {
			return nil, &historyGapError{after: revision, upTo: t.token}
		}
		revision = upTo
	}
	return owners, nil
}

// historyGapError means that the store did not return all changes of the owner's key.
type historyGapError struct{ after, upTo int64 }

// Error names the revisions between which changes are missing.
func (e *historyGapError) Error() string {
	return fmt.Sprintf("no changes of the owner's key from revision %d to %d", e.after, e.upTo)
}

// applyGrants shortens the time for which tasks on workers that can't be reached count as alive, as reported at now.
func (t *term) applyGrants(instance string, reply *grants.Reply, now time.Time) {
	known := group.InheritedLeases{ByWorker: make(map[string]time.Time), Others: now.Add(onThisClock(reply.Others))}
	for id, remaining := range reply.ByWorker {
		known.ByWorker[id] = now.Add(onThisClock(remaining))
	}
	t.state.Lock()
	t.engine.InheritLeases(known)
	t.state.Unlock()
	t.notify()
	t.Log.Emit(event.LeasesInherited, event.Fields{
		"token": t.token, "from": instance, "fromToken": reply.Token, "workers": len(reply.ByWorker), "others": reply.Others.String(), "exits": len(reply.Exits),
	})
}

// hearExits applies the exits that earlier owners have heard of, or keeps them until all jobs are loaded. The caller holds t.state.
func (t *term) hearExits(exits []group.WorkerExit, now time.Time) {
	t.heardExits = append(t.heardExits, exits...)
	if t.loadedRevision != 0 {
		t.applyHeardExits(now)
	}
}

// applyHeardExits applies the exits that the last owner has heard of, once all jobs are loaded. The caller holds t.state.
func (t *term) applyHeardExits(now time.Time) {
	t.engine.ApplyHeardExits(t.heardExits, now)
	t.heardExits = nil
}

// onThisClock returns an upper bound, on the clock of this instance, of a time on that of another one.
func onThisClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) * clockDriftFactor)
}
