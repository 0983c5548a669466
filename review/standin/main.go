// Command standin plays the cases of review/: it starts the project's instances as separate processes, and is itself the platform's
// store, the runners, the operator and the clients, as the pages describe them.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

type world struct {
	root, temp string
	trouble    bool
	rec        *recorder
	store      *store
	decks      []*deck
	runners    []*runner
	config     config
}

// outcome of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

type caseFunc func(w *world) (code int, why string)

var cases = map[string]caseFunc{}

// The host and the prefixes of the two queues in use, the keys of the two tenants, and the ID of the job that a case is about.
const (
	host  = "nony24.example"
	tally = "/pule252/"
	girth = "/pufi791/"
	keyA  = "key-one-of-kaje80"
	keyB  = "key-of-mopo11"
	jobID = "5c0e7a21d94b36f8"
)

type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"prefix"`
	Type        string  `json:"type"`
	Timeout     int     `json:"timeoutMs"`
	Target      int     `json:"targetDurationMs"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"maxAttempts"`
	Stretch     float64 `json:"stretch"`
	Public      bool    `json:"public"`
}

type tenant struct {
	Name       string         `json:"name"`
	Keys       []string       `json:"apiKeys"`
	Priority   int            `json:"priority"`
	Guaranteed map[string]int `json:"guaranteed"`
}

type config struct {
	Version  int              `json:"version"`
	Routes   []route          `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
	Tenants  []tenant         `json:"tenants"`
}

func firstConfig() config {
	return config{
		Version: 7,
		Routes: []route{
			{"r-tally", host, tally, "non_idempotent", 3000, 3000, 2, "dendrometro", 4, 3, false},
			{"r-volume", host, "/lohu930/", "non_idempotent", 3000, 1000, 1, "dendrometro", 3, 3, false},
			{"r-girth", host, girth, "non_idempotent", 3000, 250, 0, "dendrometro", 4, 1.5, false},
		},
		Services: []map[string]any{{"name": "dendrometro", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0, "rejectsOverload": false, "standby": false}},
		Limits:   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		Tenants: []tenant{
			{"kaje80", []string{keyA, "key-two-of-kaje80"}, 1, map[string]int{"gpu": 72}},
			{"mopo11", []string{keyB}, 1, map[string]int{"gpu": 72}},
		},
	}
}

// publish writes the configuration as the operator does; the return is the store's confirmation.
func (w *world) publish(what string) {
	w.store.put("op/config", w.config)
	w.rec.log("operator: version %d of the configuration is confirmed (%s)", w.config.Version, what)
}

// zones are those of perimetros-grid, instances how many machines it has there.
var (
	zones     = []string{"olympos", "ossa", "othrys"}
	instances = []int{3, 3, 2}
)

// build starts an installation like perimetros-grid, eight instances and the given runners, and waits until it serves.
func (w *world) build(kinds []runnerKind) error {
	w.config = firstConfig()
	w.publish("the first one")
	for _, kind := range kinds {
		r := newRunner(kind, "127.0.0.1:0", w.rec, w.store)
		if err := r.start(); err != nil {
			return err
		}
		w.runners = append(w.runners, r)
	}
	for i, zone := range zones {
		for n := 1; n <= instances[i]; n++ {
			d, err := w.newDeck(fmt.Sprintf("edge-%s-%d", zone, n), zone, fmt.Sprintf("127.0.%d.%d", 20+i, n))
			if err != nil {
				return err
			}
			w.decks = append(w.decks, d)
		}
	}
	for until := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := w.owner() != nil
		for _, d := range w.decks {
			ready = ready && d.isReady()
		}
		if ready {
			break
		}
		if time.Now().After(until) {
			return fmt.Errorf("the instances are not ready")
		}
	}
	// Traffic starts ten seconds after the machines in a small installation; three are enough for the polls of all runners here.
	time.Sleep(3 * time.Second)
	w.rec.log("all instances are ready; %s is the owner", w.owner().name)
	return nil
}

// fleet returns the runners of perimetros-grid: 16 in each zone, eight a rack, each with 64 cores, 128 GB and 8 GPUs.
func fleet() []runnerKind {
	var kinds []runnerKind
	for i := range 48 {
		kinds = append(kinds, runnerKind{
			id: fmt.Sprintf("i-%08x", 0x7f3a0001+i), service: "dendrometro", zone: zones[i/16], labels: []string{"a", fmt.Sprintf("r1-%d", i/8)}, cpu: 64000, memMb: 131072, gpu: 8,
		})
	}
	return kinds
}

func (w *world) end() {
	for _, d := range w.decks {
		d.kill()
	}
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, in the root of the repository; TROUBLE=0: without the disruption")
		os.Exit(couldNot)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run caseFunc, folder string) (code int) {
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	root, err := os.Getwd()
	if err != nil {
		return couldNot
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return couldNot
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(temp)
	} else {
		fmt.Println(temp)
	}
	w := &world{root: root, temp: temp, trouble: os.Getenv("TROUBLE") != "0", rec: rec, store: newStore(rec)}
	rec.log("TROUBLE=%s", strconv.FormatBool(w.trouble))
	result := make(chan func() (int, string), 1)
	go func() {
		c, why := run(w)
		result <- func() (int, string) { return c, why }
	}()
	why := "the case took too long"
	code = couldNot
	select {
	case r := <-result:
		code, why = r()
	case <-time.After(112 * time.Second):
	}
	w.end()
	text := map[int]string{held: "the rule held", broken: "the rule is broken", couldNot: "the case could not run"}[code]
	rec.log("result %d: %s: %s", code, text, why)
	fmt.Printf("%s: %s\n", text, why)
	return code
}
