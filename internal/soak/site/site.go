package site

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Machines is a group of equal machines in one data centre that run an instance each.
type Machines struct {
	DataCentre string
	Count      int
	// Mbps is the bandwidth between the machine and the store.
	Mbps     int
	CPUShare float64
	MemoryMB int
}

// Queue describes one queue and the jobs that arrive in it.
type Queue struct {
	Name, Prefix string
	Priority     int
	MaxAttempts  int
	Stretch      float64
	Target       time.Duration
	// Rate is the number of jobs a second.
	Rate                float64
	Width, MaxWidth     int
	MilliCores, MemMB   int
	Accelerators        []int
	Work, MaxWork       time.Duration
	Gang, SecondStep    float64
	Checkpoints, Cancel float64
	FailShare           float64
}

// Site is one installation.
type Site struct {
	Name        string
	DataCentres []string
	Machines    []Machines
	// Workers is their number in each data centre, Rack the number in a rack.
	Workers, Rack                      int
	MilliCores, MemMB, Accelerators    int
	WritesPerS, ReadsPerS              int
	StoreDelay, History                time.Duration
	Heartbeat, MaxHold, StopTimeout    time.Duration
	GangTimeout, Contact, Grace, Drain time.Duration
	Cancel, Finish, CheckpointEvery    time.Duration
	Restore, Revoke, Evacuate, Reclaim time.Duration
	// Traffic is how long jobs arrive, LeadIn the time from the start of the processes until then.
	LeadIn, Traffic time.Duration
	Callers         int
	Workspaces      int
	Queues          []Queue
}

// Host is the host of all queues and Service the service that runs their jobs.
const (
	Host    = "jobs.example"
	Service = "pool"
)

// Key returns the API key of a workspace.
func Key(workspace int) string { return fmt.Sprintf("key-of-workspace-%d", workspace) }

// Find returns the site of that name.
func Find(name string) (Site, error) {
	for _, s := range all() {
		if s.Name == name {
			return s, nil
		}
	}
	return Site{}, fmt.Errorf("site %q is not one of %s", name, strings.Join(Names(), ", "))
}

// Names returns the names of all sites in order.
func Names() []string {
	var names []string
	for _, s := range all() {
		names = append(names, s.Name)
	}
	sort.Strings(names)
	return names
}

func all() []Site { return []Site{small(), medium(), grown()} }

// small runs in CI.
func small() Site {
	s := grown()
	s.Name = "small"
	s.DataCentres = []string{"north", "south"}
	s.Machines = []Machines{{"north", 2, 200, 0.8, 536}, {"north", 1, 10, 0.192, 184}, {"south", 1, 200, 0.8, 536}, {"south", 1, 10, 0.192, 184}}
	s.Workers, s.Rack = 10, 5
	s.WritesPerS, s.ReadsPerS = 400, 2000
	s.Heartbeat, s.MaxHold, s.GangTimeout, s.Contact = 1500*time.Millisecond, 6*time.Second, 3*time.Second, 3*time.Second
	s.LeadIn, s.Traffic, s.Callers, s.Workspaces = 5*time.Second, 10*time.Second, 8, 3
	s.Queues = scaled(s.Queues, 0.15, 10)
	s.Queues[2].SecondStep = 1
	return s
}

func medium() Site {
	s := grown()
	s.Name = "medium"
	s.Machines = []Machines{{"rgn", 2, 200, 0.8, 536}, {"rgn", 3, 10, 0.192, 184}, {"sktn", 2, 200, 0.8, 536}, {"sktn", 2, 10, 0.192, 184}, {"wpg", 1, 200, 0.8, 536}, {"wpg", 2, 10, 0.192, 184}}
	s.Workers = 30
	s.WritesPerS, s.ReadsPerS = 600, 3000
	s.Traffic, s.Callers, s.LeadIn = 20*time.Second, 30, 8*time.Second
	s.Queues = scaled(s.Queues, 90.0/350, 78)
	return s
}

// grown has the size of a large installation with many small instances.
func grown() Site {
	return Site{
		Name: "grown", DataCentres: []string{"rgn", "sktn", "wpg"},
		Machines: []Machines{{"rgn", 2, 200, 0.8, 536}, {"rgn", 10, 10, 0.192, 184}, {"sktn", 2, 200, 0.8, 536}, {"sktn", 13, 10, 0.192, 184}, {"wpg", 2, 200, 0.8, 536}, {"wpg", 11, 10, 0.192, 184}},
		Workers:  117, Rack: 12, MilliCores: 32000, MemMB: 65536, Accelerators: 8, WritesPerS: 1200, ReadsPerS: 6000,
		StoreDelay: 4 * time.Millisecond, History: 20 * time.Second, Heartbeat: 1500 * time.Millisecond, MaxHold: 10 * time.Second,
		StopTimeout: 400 * time.Millisecond, GangTimeout: 4 * time.Second, Contact: 4 * time.Second, Grace: 6 * time.Second,
		Drain: 3 * time.Second, Cancel: 4 * time.Second, Finish: 14 * time.Second, CheckpointEvery: time.Second,
		Restore: 100 * time.Millisecond, Revoke: 5 * time.Second, Evacuate: 5 * time.Second, Reclaim: 2900 * time.Millisecond,
		LeadIn: 12 * time.Second, Traffic: 34 * time.Second, Callers: 87, Workspaces: 10,
		Queues: []Queue{
			{
				Name: "statements", Prefix: "/statements/", Priority: 1, MaxAttempts: 3, Stretch: 3, Target: time.Second, Rate: 1.34, Width: 13,
				MaxWidth: 78, MilliCores: 13000, MemMB: 34000, Accelerators: []int{1, 2, 4, 8, 8}, Work: 11 * time.Second,
				MaxWork: 11 * time.Second, Gang: 1, Checkpoints: 0.45, Cancel: 0.05, FailShare: 0.02,
			},
			{
				Name: "deposits", Prefix: "/deposits/", Priority: 0, MaxAttempts: 3, Stretch: 1.5, Target: 250 * time.Millisecond, Rate: 7.15,
				Width: 5, MaxWidth: 32, MilliCores: 3700, MemMB: 9800, Accelerators: []int{1, 2, 4, 8, 8}, Work: 2500 * time.Millisecond,
				MaxWork: 8 * time.Second, Gang: 1, FailShare: 0.005,
			},
			{
				Name: "accrual", Prefix: "/accrual/", Priority: 2, MaxAttempts: 4, Stretch: 3, Target: 3 * time.Second, Rate: 2.06, Width: 39,
				MaxWidth: 230, MilliCores: 2800, MemMB: 7400, Accelerators: []int{1}, Work: 6100 * time.Millisecond, MaxWork: 11 * time.Second,
				SecondStep: 0.3, Checkpoints: 0.45, Cancel: 0.15, FailShare: 0.05,
			},
		},
	}
}

func scaled(queues []Queue, factor float64, widest int) []Queue {
	list := append([]Queue(nil), queues...)
	for i := range list {
		list[i].Rate *= factor
		list[i].MaxWidth = min(list[i].MaxWidth, widest)
	}
	return list
}
