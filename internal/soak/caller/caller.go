package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/soak/site"
	"github.com/lentildeck/lentildeck/internal/soak/trail"
)

const (
	budget   = 3 * time.Second
	attempts = 5
	pause    = 400 * time.Millisecond
)

// Caller is one client; it keeps its connection to an instance until the instance closes it.
type Caller struct {
	DataCentre string
	Balancer   *Balancer
	Trail      *trail.Trail
	Planted    Planted

	client  *http.Client
	mu      sync.Mutex
	current Target
}

// New returns a caller without a connection.
func New(dataCentre string, b *Balancer, seen *trail.Trail) *Caller {
	return &Caller{DataCentre: dataCentre, Balancer: b, Trail: seen, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

// Close closes the caller's connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

func (c *Caller) target() Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current.Name == "" {
		c.current = c.Balancer.Pick(c.DataCentre)
	}
	return c.current
}

func (c *Caller) leave(t Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == t {
		c.current = Target{}
	}
}

// reply is the response to one attempt; a status of zero means that there was none.
type reply struct {
	status     int
	retryAfter time.Duration
	instance   string
	body       struct {
		State   string `json:"state"`
		Pending int    `json:"pending"`
	}
}

func (c *Caller) call(ctx context.Context, method string, j *trail.Job, data []byte) reply {
	t := c.target()
	callCtx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	got := reply{instance: t.Name}
	r, err := http.NewRequestWithContext(callCtx, method, "http://"+t.Front+j.Prefix+j.ID, bytes.NewReader(data))
	if err != nil {
		return got
	}
	r.Host = site.Host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Key", j.Key)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	// The transport must not repeat attempts by itself.
	r.GetBody = nil
	answer, err := c.client.Do(r)
	if err != nil {
		c.leave(t)
		return got
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil || answer.Close {
		c.leave(t)
	}
	if err != nil {
		return got
	}
	got.status = answer.StatusCode
	if s, err := strconv.Atoi(answer.Header.Get("Retry-After")); err == nil {
		got.retryAfter = time.Duration(s) * time.Second
	}
	if answer.StatusCode/100 == 2 {
		// A state that can't be read counts as none.
		_ = json.Unmarshal(text, &got.body)
	}
	return got
}

// Submit hands a job in, and tries again after a rejection or without an answer.
func (c *Caller) Submit(ctx context.Context, j *trail.Job) bool {
	data, err := json.Marshal(body(j, c.Planted))
	if err != nil {
		return false
	}
	c.Trail.AddJob(j, time.Now())
	for n := range attempts {
		got := c.call(ctx, http.MethodPost, j, data)
		what := fmt.Sprintf("attempt %d at %s is answered %d", n+1, got.instance, got.status)
		switch {
		case got.status/100 == 2:
			c.Trail.Change(j, time.Now(), what, func(j *trail.Job) { j.Accepted = time.Now() })
			return true
		case got.status == 0 || got.status == http.StatusBadGateway || got.status == http.StatusGatewayTimeout:
			c.Trail.Change(j, time.Now(), what, func(j *trail.Job) { j.Unanswered++ })
		default:
			c.Trail.Change(j, time.Now(), what, func(j *trail.Job) { j.Rejected++ })
			c.leave(c.target())
		}
		if !sleep(ctx, min(max(got.retryAfter, pause), 2*time.Second)) {
			return false
		}
	}
	return false
}

// Cancel cancels a job, and tries again until there is an answer.
func (c *Caller) Cancel(ctx context.Context, j *trail.Job) {
	c.Trail.Change(j, time.Now(), "cancel is sent", func(j *trail.Job) { j.CancelSent = time.Now() })
	for range attempts {
		got := c.call(ctx, http.MethodDelete, j, nil)
		if got.status/100 == 2 || got.status == http.StatusGone {
			c.Trail.Change(j, time.Now(), "cancel is acknowledged by "+got.instance, func(j *trail.Job) { j.CancelAccepted = time.Now() })
			return
		}
		if !sleep(ctx, pause) {
			return
		}
	}
}

// State asks once for a job's state.
func (c *Caller) State(ctx context.Context, j *trail.Job) (int, string) {
	got := c.call(ctx, http.MethodGet, j, nil)
	c.Trail.Show(j, time.Now(), got.status, got.body.State)
	return got.status, got.body.State
}

// Follow asks for a job's state from time to time until it has ended.
func (c *Caller) Follow(ctx context.Context, j *trail.Job, every time.Duration) {
	for sleep(ctx, every) {
		if _, state := c.State(ctx, j); Ended(state) {
			return
		}
	}
}

// Ended reports whether a job in that state runs no more.
func Ended(state string) bool {
	return state == "completed" || state == "failed" || state == "canceled"
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
