package term

import (
	"context"
	"errors"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/peer/notify"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
)

const (
	// maxJobAge limits the age of a job, which is computed from the time of day, as that clock may jump.
	maxJobAge = time.Minute
	// relistInterval limits how long a cancel can go unnoticed if the watch misses it.
	relistInterval = 2 * time.Second
	// jobsWatchWait is how long a watch of jobs and cancels waits for a change.
	jobsWatchWait = time.Second
	// scanInterval limits how long a new job can go unnoticed if the watch misses it; the keys read are few and empty.
	scanInterval = 250 * time.Millisecond
	// maxReadTimeout limits a read of all jobs: the slowest link of an instance, 10 Mbit/s, takes as long for 20 MB.
	maxReadTimeout = 16 * time.Second
)

// readTimeout returns the timeout of reads of all jobs after a number of failed ones in a row. Each failure doubles it, as a read that
// takes longer than its timeout would never succeed.
func readTimeout(failures int) time.Duration {
	return min(2*storeTimeout<<min(failures, 8), maxReadTimeout)
}

// load reads the workers and all jobs with their records. It ends the term if this takes longer than one turn, as another instance
// may be able to; it reports false if the term ended first.
func (t *term) load(ctx context.Context) bool {
	started, limit := t.Now(), readTimeout(t.failedLoads)
	call, done := context.WithTimeout(ctx, limit)
	defer done()
	for {
		err := t.tryLoad(call)
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return false
		}
		t.Log.Emit(event.StoreLost, event.Fields{"call": "load", "error": err.Error()})
		if !pause.For(call, t.jitter(storeRetryDelay/2)) {
			t.end(&loadError{limit: limit, cause: err})
			return false
		}
	}
	t.state.Lock()
	fields := t.loadedFields(started, t.Now())
	t.state.Unlock()
	t.Log.Emit(event.TermLoaded, fields)
	return true
}

func (t *term) tryLoad(call context.Context) error {
	if snapshot, _ := t.Policy.Current(); snapshot.Policy == nil {
		if err := t.Policy.Refresh(call); err != nil {
			return err
		}
	}
	sent := t.Now()
	workers, err := t.Lister.Workers(call)
	if err != nil {
		return err
	}
	records, _, err := t.Store.Range(call, work.RecordPrefix)
	if err != nil {
		return err
	}
	specsRequested := t.Now()
	specs, asOf, err := t.Store.Range(call, work.SpecPrefix)
	if err != nil {
		return err
	}
	leases, err := t.Store.Item(call, work.LeasesKey)
	if err != nil {
		return err
	}
	t.state.Lock()
	defer t.state.Unlock()
	t.loadWithheld(leases, t.Now())
	if snapshot, _ := t.Policy.Current(); snapshot.Policy != nil {
		t.engine.SetPolicy(snapshot.Placement())
	}
	t.logRacks(workers)
	t.engine.SetWorkers(workers, t.Now())
	t.listedAt = sent
	known := t.decodeRecords(records)
	t.loadJobs(specs, known)
	t.leftovers = leftoverKeys(records, specs)
	t.loadedRevision = asOf
	t.cancels.listed(asOf, specsRequested)
	t.applyHeardExits(t.Now())
	return nil
}

// loadJobs applies the specs of new jobs and cancels; known has the records by earlier owners. A job whose record can't be read may
// have ended, so it is not loaded. Items of an unknown job that are not newer than loadedRevision are skipped: the job was
// not loaded for that reason, or has ended and was deleted since they were read. The caller holds t.state.
func (t *term) loadJobs(items []store.Item, known map[string]*storedRecord) {
	now := t.Now()
	for _, item := range items {
		job, cancel := work.ParseSpecKey(item.Key)
		loaded := t.engine.Job(job) != nil
		if !loaded && item.Revision <= t.loadedRevision {
			continue
		}
		if cancel {
			t.cancelJob(job, now)
			continue
		}
		if loaded {
			continue
		}
		spec, err := work.DecodeSpec(item.Data)
		if err != nil {
			t.Log.Emit(event.RecordBad, event.Fields{"key": item.Key, "error": err.Error()})
			continue
		}
		spec.Job = job
		record, err := known[job].join(spec.GroupCount())
		if err != nil {
			t.Log.Emit(event.RecordBad, event.Fields{"key": work.RecordKey(job), "error": err.Error()})
			continue
		}
		wall := t.WallNow()
		age := min(max(wall.Sub(spec.Accepted), 0), maxJobAge)
		j := t.engine.Load(spec, record, age, now, wall)
		queue := j.Queue()
		t.Log.Emit(event.JobSeen, event.Fields{
			"job": job, "queue": spec.Queue, "service": queue.Service, "workspace": spec.Workspace, "age": age.String(), "recorded": record != nil, "phase": j.Record.Phase.String(), "steps": spec.Steps, "inherited": j.AliveMembers(),
			"repeat": spec.Repeat, "priority": queue.Priority, "stretch": queue.Stretch, "target": queue.Target.String(), "token": t.token,
		})
		if t.earlyCancels[job] {
			t.cancelJob(job, now)
		}
	}
}

// loadAccepted loads a job that an instance has just accepted, and reports whether it is loaded. An unknown job from before
// loadedRevision is ignored: it has ended and was removed.
func (t *term) loadAccepted(job *notify.Job) bool {
	t.state.Lock()
	defer t.state.Unlock()
	if t.loadedRevision == 0 {
		return false
	}
	t.loadJobs([]store.Item{{Key: work.SpecKey(job.ID), Data: job.Spec, Revision: job.Revision}}, nil)
	t.notify()
	return t.engine.Job(job.ID) != nil
}

func (t *term) cancelJob(job string, now time.Time) {
	if t.engine.Job(job) == nil {
		t.earlyCancels[job] = true
		return
	}
	delete(t.earlyCancels, job)
	t.engine.Cancel(job, now)
}

// relistJobs lists all jobs again and again until the term ends.
func (t *term) relistJobs(ctx context.Context) {
	reads := event.ListReads(t.Log, "jobs")
	failures := 0
	for wait := time.Duration(0); t.awaitRelist(ctx, wait); {
		wait = relistInterval
		began, limit := t.Now(), readTimeout(failures)
		err := t.relist(ctx, limit)
		if ctx.Err() == nil {
			reads.Report(err)
		}
		switch {
		case err == nil:
			failures = 0
			continue
		case t.Now().Sub(began) >= limit:
			// A failure that comes sooner says nothing of the time that a read takes.
			failures++
		}
		wait = t.jitter(storeRetryDelay / 2)
	}
}

// awaitRelist waits until a list of all jobs is due, and reports false if ctx has ended.
func (t *term) awaitRelist(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
	case <-t.relistDue:
	case <-time.After(wait):
	}
	return ctx.Err() == nil
}

// requestRelist asks for a list of all jobs at once.
func (t *term) requestRelist() {
	select {
	case t.relistDue <- struct{}{}:
	default:
	}
}

// watchJobs loads new jobs and cancels from a watch on the store until the term ends; it goes on while lists fail.
func (t *term) watchJobs(ctx context.Context) {
	reads := event.ListReads(t.Log, "changes of jobs")
	after := t.listedRevision()
	for ctx.Err() == nil {
		sent := t.Now()
		call, done := context.WithTimeout(ctx, jobsWatchWait+storeTimeout)
		changes, upTo, err := t.Store.Changes(call, work.SpecPrefix, after, jobsWatchWait)
		done()
		if ctx.Err() == nil {
			reads.Report(err)
		}
		var historyGone *store.HistoryError
		switch {
		case errors.As(err, &historyGone):
			t.requestRelist()
			pause.For(ctx, scanInterval)
			after = t.resumeWatch(after)
			continue
		case err != nil:
			pause.For(ctx, t.jitter(storeRetryDelay/2))
			continue
		}
		after = upTo
		items := make([]store.Item, 0, len(changes))
		for _, change := range changes {
			if !change.Deleted {
				items = append(items, change.Item)
			}
		}
		t.state.Lock()
		t.loadJobs(items, nil)
		t.cancels.watched(len(changes), sent, jobsWatchWait, t.Now())
		t.state.Unlock()
		if len(items) > 0 {
			t.notify()
		}
	}
}

// resumeWatch returns the revision from which a watch goes on whose history is gone: the latest one that was read. A list that is
// requested later shows what the watch misses.
func (t *term) resumeWatch(after int64) int64 {
	t.state.Lock()
	defer t.state.Unlock()
	latest := max(after, t.loadedRevision, t.scannedRevision)
	if latest > t.loadedRevision {
		t.cancels.resumed(latest)
	}
	return latest
}

// listedRevision returns the store revision as of which all jobs were last loaded.
func (t *term) listedRevision() int64 {
	t.state.Lock()
	defer t.state.Unlock()
	return t.loadedRevision
}

// scanWaiting reads the keys of jobs that have not begun, until the term ends, to find new jobs that the watch has missed.
func (t *term) scanWaiting(ctx context.Context) {
	for pause.For(ctx, scanInterval) {
		call, done := context.WithTimeout(ctx, storeTimeout)
		if err := t.readWaiting(call); err != nil {
			t.Log.Emit(event.StoreLost, event.Fields{"call": "pending", "error": err.Error()})
		}
		done()
	}
}

// readWaiting loads the jobs with a pending key that are not loaded yet; one that can't be read hides no other.
func (t *term) readWaiting(ctx context.Context) error {
	waiting, asOf, err := t.Store.Range(ctx, work.WaitPrefix)
	if err != nil {
		return err
	}
	t.state.Lock()
	t.scannedRevision = asOf
	t.state.Unlock()
	var failed error
	for _, job := range t.notLoaded(waiting) {
		item, err := t.Store.Item(ctx, work.SpecKey(job))
		if err != nil {
			failed = err
			continue
		}
		if item.Revision == 0 {
			continue
		}
		t.state.Lock()
		t.loadJobs([]store.Item{item}, nil)
		t.state.Unlock()
		t.notify()
	}
	return failed
}

// notLoaded returns the waiting jobs that the engine does not know.
func (t *term) notLoaded(waiting []store.Item) []string {
	t.state.Lock()
	defer t.state.Unlock()
	var jobs []string
	for _, item := range waiting {
		if job := work.ParseWaitKey(item.Key); t.engine.Job(job) == nil {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

func (t *term) relist(ctx context.Context, timeout time.Duration) error {
	call, done := context.WithTimeout(ctx, timeout)
	defer done()
	sent := t.Now()
	items, asOf, err := t.Store.Range(call, work.SpecPrefix)
	if err != nil {
		return err
	}
	t.state.Lock()
	t.loadJobs(items, nil)
	t.loadedRevision = asOf
	t.cancels.listed(asOf, sent)
	t.state.Unlock()
	t.notify()
	return nil
}

// listWorkers reads the list of workers until the term ends and opens a session with each new one.
func (t *term) listWorkers(ctx context.Context) {
	reads := event.ListReads(t.Log, "workers")
	for ctx.Err() == nil {
		t.openSessions(ctx)
		if !pause.For(ctx, listInterval) {
			return
		}
		sent := t.Now()
		call, done := context.WithTimeout(ctx, storeTimeout)
		workers, err := t.Lister.Workers(call)
		done()
		if ctx.Err() == nil {
			reads.Report(err)
		}
		if err != nil {
			continue
		}
		t.state.Lock()
		t.logListChanges(workers)
		t.engine.SetWorkers(workers, t.Now())
		t.listedAt = sent
		t.state.Unlock()
		t.notify()
	}
}

// logRacks logs the workers that a term begins with, one line a rack and service.
func (t *term) logRacks(workers []group.WorkerInfo) {
	type key struct{ dataCentre, rack, service string }
	racks := make(map[key][]group.WorkerInfo)
	for _, w := range workers {
		k := key{w.DataCentre, w.Rack, w.Service}
		racks[k] = append(racks[k], w)
	}
	for k, list := range racks {
		ids := make([]string, len(list))
		for i, w := range list {
			ids[i] = w.ID
		}
		size := list[0].Capacity
		t.Log.Emit(event.RackListed, event.Fields{
			"dataCentre": k.dataCentre, "rack": k.rack, "service": k.service, "workers": ids, "token": t.token,
			"milliCores": size.MilliCores, "memoryMB": size.MemoryMB, "accelerators": size.Accelerators,
		})
	}
}

// logListChanges logs the differences between the last list of workers and this one. The caller holds t.state.
func (t *term) logListChanges(workers []group.WorkerInfo) {
	listed := make(map[string]bool, len(workers))
	for _, info := range workers {
		listed[info.ID] = true
		w := t.engine.Worker(info.ID)
		if w == nil || !w.Listed || w.Draining != info.Draining || info.Incarnation > w.Incarnation || w.Capacity != info.Capacity {
			t.Log.Emit(event.WorkersListed, event.Fields{
				"worker": info.ID, "draining": info.Draining, "born": info.Incarnation, "dataCentre": info.DataCentre, "rack": info.Rack, "new": w == nil,
				"milliCores": info.Capacity.MilliCores, "memoryMB": info.Capacity.MemoryMB, "accelerators": info.Capacity.Accelerators,
			})
		}
	}
	for _, w := range t.engine.Workers() {
		if w.Listed && !listed[w.ID] {
			t.Log.Emit(event.WorkersListed, event.Fields{"worker": w.ID, "gone": true, "busy": w.Busy()})
		}
	}
}
