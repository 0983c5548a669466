package world

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/place/group"
)

// WorkerConfig describes a worker.
type WorkerConfig struct {
	ID         string
	DataCentre string
	Capacity   group.Resources
}

// worker is one worker over all its incarnations.
type worker struct {
	WorkerConfig
	world       *World
	up          bool
	incarnation int64
	bootedAt    time.Time
	// drainingSince is when the worker began to shut down; zero if it does not.
	drainingSince time.Time
	// token is the highest fencing token seen, highest the highest run of each task that was stopped or has ended.
	token   int64
	highest map[string]int
	runs    []*run
	exits   []group.ExitEntry
	// lastExit is the number of the last exit.
	lastExit  int64
	leaseEnds time.Time
	// isolatedUntil is until when no call reaches the worker, and none of its answers arrives.
	isolatedUntil time.Time
	polls         []*openPoll
}

// openPoll is a poll that waits for an exit.
type openPoll struct {
	call *call
}

// boot begins an incarnation.
func (o *worker) boot(now time.Time) {
	o.up, o.incarnation, o.bootedAt = true, max(now.UnixMilli(), o.incarnation+1), now
	o.token, o.highest, o.runs, o.exits, o.lastExit, o.leaseEnds = 0, make(map[string]int), nil, nil, 0, time.Time{}
	o.world.notef("%s begins as %d", o.ID, o.incarnation)
}

var errCrashed = errors.New("worker crashed")

// crash ends the worker with all that runs on it, and lets it come back under its ID after a while, unless that is zero.
func (o *worker) crash(down time.Duration, now time.Time) {
	if !o.up {
		return
	}
	w := o.world
	w.notef("%s crashes with %d tasks", o.ID, len(o.runs))
	w.disturbed(now.Add(down))
	o.up = false
	ended := o.runs
	o.runs = nil
	for _, r := range ended {
		w.checks.task(r.task).crashes++
		w.breakGang(r, now)
	}
	for _, open := range o.polls {
		open.call.set(nil, &agent.LostError{Worker: o.ID, Cause: errCrashed})
		open.call.respond()
	}
	o.polls = nil
	if down > 0 {
		w.schedule(now.Add(down), o.boot)
	}
}

// state describes what the worker holds.
func (o *worker) state() string {
	var b strings.Builder
	fmt.Fprint(&b, o.ID, o.up, o.drainingSince.IsZero())
	for _, r := range o.runs {
		fmt.Fprint(&b, " ", r.task, "/", r.number, r.stopping)
	}
	for _, e := range o.exits {
		fmt.Fprint(&b, " ", e.Task, "/", e.Run, e.Status)
	}
	return b.String()
}

// list is the list of workers.
func (w *World) list() (list []group.WorkerInfo) {
	for _, o := range w.workers {
		if o.up {
			list = append(list, group.WorkerInfo{
				ID: o.ID, Service: service, Address: o.ID, DataCentre: o.DataCentre, Rack: o.DataCentre, Capacity: o.Capacity,
				Draining: !o.drainingSince.IsZero(), Incarnation: o.incarnation,
			})
		}
	}
	return list
}

// service is that of all workers.
const service = "main"

// admit refuses a call with a lower token than an earlier one.
func (o *worker) admit(token int64) error {
	if token < o.token {
		return &agent.RefusedError{Worker: o.ID, Refusal: agent.OldToken}
	}
	o.token = token
	return nil
}

// clock is the reading of the worker's own clock.
func (o *worker) clock(now time.Time) time.Duration { return now.Sub(o.bootedAt) }

// extend extends the lease up to the deadline on the worker's clock, which counts milliseconds; it never shortens it.
func (o *worker) extend(deadline time.Duration, now time.Time) {
	until := o.bootedAt.Add(min(deadline, o.clock(now)+o.world.cfg.MaxLease).Truncate(time.Millisecond))
	if deadline == 0 || !until.After(o.leaseEnds) {
		return
	}
	o.leaseEnds = until
	incarnation := o.incarnation
	o.world.schedule(until, func(now time.Time) {
		if o.up && o.incarnation == incarnation && !o.leaseEnds.After(now) && len(o.runs) > 0 {
			o.world.notef("%s: the lease expires", o.ID)
			o.world.checks.lapsed(o)
			for _, r := range slices.Clone(o.runs) {
				o.world.end(r, group.Lapsed, now)
			}
		}
	})
}

// find returns the run that is running, or nil.
func (o *worker) find(task string, number int) *run {
	for _, r := range o.runs {
		if r.task == task && r.number == number {
			return r
		}
	}
	return nil
}

// Start starts a task.
func (p *Process) Start(ctx context.Context, to agent.Target, start agent.Start) error {
	name := fmt.Sprintf("start %s %s/%d", to.Worker, start.Task, start.Run)
	_, err := p.do(ctx, to.Worker, name, func(c *call, now time.Time) bool {
		c.set(nil, p.world.byID[to.Worker].start(c, start, now))
		return true
	})
	return err
}

func (o *worker) start(c *call, start agent.Start, now time.Time) error {
	if err := o.admit(start.Token); err != nil {
		return err
	}
	if start.Deadline <= o.clock(now) {
		return &agent.RefusedError{Worker: o.ID, Refusal: agent.PastDeadline}
	}
	o.extend(start.Deadline, now)
	if o.find(start.Task, start.Run) != nil {
		return nil
	}
	if start.Run <= o.highest[start.Task] {
		return &agent.RefusedError{Worker: o.ID, Refusal: agent.OldRun}
	}
	o.world.begins(o, c, start, now)
	return nil
}

// Stop stops a run and makes the worker refuse later starts of it.
func (p *Process) Stop(ctx context.Context, to agent.Target, stop agent.Stop) error {
	name := fmt.Sprintf("stop %s %s/%d", to.Worker, stop.Task, stop.Run)
	_, err := p.do(ctx, to.Worker, name, func(c *call, now time.Time) bool {
		c.set(nil, p.world.byID[to.Worker].stop(stop, now))
		return true
	})
	return err
}

// stopDelay is how long a worker takes to stop a task.
const stopDelay = 150 * time.Millisecond

func (o *worker) stop(stop agent.Stop, now time.Time) error {
	if err := o.admit(stop.Token); err != nil {
		return err
	}
	o.highest[stop.Task] = max(o.highest[stop.Task], stop.Run)
	o.world.notef("%s is told to stop %s/%d", o.ID, stop.Task, stop.Run)
	if r := o.find(stop.Task, stop.Run); r != nil && !r.stopping {
		r.stopping = true
		o.world.endAfter(r, stopDelay, group.Stopped, now)
	}
	return nil
}

// Poll acknowledges exits, renews the lease and lists what runs and has ended; without exits it waits for one.
func (p *Process) Poll(ctx context.Context, to agent.Target, poll agent.Poll) (agent.PollResponse, error) {
	name := fmt.Sprintf("poll %s ack %d wait %s", to.Worker, poll.Acknowledged, poll.Wait)
	return ask[agent.PollResponse](ctx, p, to.Worker, name, func(c *call, now time.Time) bool {
		return p.world.byID[to.Worker].poll(c, poll, now)
	})
}

func (o *worker) poll(c *call, poll agent.Poll, now time.Time) bool {
	if err := o.admit(poll.Token); err != nil {
		c.set(nil, err)
		return true
	}
	o.acknowledge(poll.Acknowledged, now)
	o.extend(poll.Deadline, now)
	if poll.Wait == 0 || len(o.exits) > 0 {
		c.set(o.listing(now), nil)
		return true
	}
	open := &openPoll{call: c}
	o.polls = append(o.polls, open)
	o.world.schedule(now.Add(poll.Wait), func(now time.Time) {
		if slices.Contains(o.polls, open) {
			o.answerPolls([]*openPoll{open}, now)
		}
	})
	return false
}

// answerPolls answers the polls.
func (o *worker) answerPolls(polls []*openPoll, now time.Time) {
	o.polls = slices.DeleteFunc(o.polls, func(open *openPoll) bool { return slices.Contains(polls, open) })
	for _, open := range polls {
		open.call.set(o.listing(now), nil)
		o.world.answer(open.call, now)
	}
}

// listedExits is how many exits a worker lists at a time; it is small, so that worlds meet listings that are not complete.
const listedExits = 2

// listing is what the worker answers to a poll.
func (o *worker) listing(now time.Time) agent.PollResponse {
	listed := min(len(o.exits), listedExits)
	answer := agent.PollResponse{Clock: o.clock(now), Listing: group.Listing{
		Incarnation: o.incarnation, Exits: slices.Clone(o.exits[:listed]), MoreExits: listed == listedExits,
	}}
	for _, r := range o.runs {
		answer.Running = append(answer.Running, group.RunningEntry{Task: r.task, Run: r.number, Percent: r.percent(now)})
	}
	return answer
}

// acknowledge forgets the exits up to the number.
func (o *worker) acknowledge(number int64, now time.Time) {
	o.exits = slices.DeleteFunc(o.exits, func(e group.ExitEntry) bool {
		if e.Number <= number {
			o.world.acknowledged(o, e, now)
		}
		return e.Number <= number
	})
}
