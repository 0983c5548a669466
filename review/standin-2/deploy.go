package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// event is a line that a runner has written.
type event struct {
	At     int64  `json:"at"`
	What   string `json:"what"`
	Runner string `json:"runner"`
	Task   string `json:"task"`
	Run    int    `json:"run"`
	How    string `json:"how"`
}

// deployment is a small deployment: the store, daemons of the project, runners.
type deployment struct {
	dir     string
	target  string
	store   *kvStore
	storeAt string
	began   time.Time

	mu      sync.Mutex
	record  *os.File
	events  []event
	procs   map[string]*exec.Cmd
	fronts  []string
	daemons []*daemon
	runners map[string][]string
}

type daemon struct {
	name, settings, front, zone string
	cmd                         *exec.Cmd
}

const host, prefix, key = "jobs.example", "/q/", "key-1"

// freePort returns a free port below those that the system gives to outgoing connections.
func freePort() int {
	for {
		port := 12000 + rand.Intn(20000)
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			l.Close()
			return port
		}
	}
}

// freePair returns the first of two neighbouring free ports.
func freePair() int {
	for {
		p := freePort()
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", p+1))
		if err == nil {
			l.Close()
			return p
		}
	}
}

func newDeployment(folder string) *deployment {
	dir, err := os.MkdirTemp("", "lentildeck-review")
	if err != nil {
		panic(err)
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		panic(err)
	}
	d := &deployment{dir: dir, target: os.Getenv("TARGET"), store: newStore(), began: time.Now(), record: record, procs: map[string]*exec.Cmd{}, runners: map[string][]string{}}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	d.storeAt = l.Addr().String()
	go d.store.serve(l)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		d.giveUp("interrupted")
	}()
	return d
}

// note writes one line into record.txt.
func (d *deployment) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

const settingsText = `nodeName = "%s"
role = "deck"
machineClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "%s"
region = "r"
internalPorts = [%d,%d]
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","places","platform","advice","upkeep","sharing"]
orders = "rpc"
[zones]
z1 = "r"
z2 = "r"
[listen]
front = "%s"
readiness = "%s"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
backMs = 250
maxSkewMs = 5000
strictRevoke = true
revokeMs = 5000
evacuateMs = 5000
recoveryS = 12
maxHoldMs = 6000
stopTimeoutMs = 900
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = 3
checkpointIntervalS = 0.5
restoreMs = 100
noticeMs = 4500
fencing = true
leaseMs = 3000
[platform]
address = "%s"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
`

// writeConfig writes the operator's config: one service, one queue, one tenant.
func (d *deployment) writeConfig(version, maxAttempts int) {
	d.store.put("op/config", map[string]any{
		"version":  version,
		"routes":   []any{map[string]any{"name": "queue-1", "host": host, "prefix": prefix, "service": "svc", "type": "non_idempotent", "timeoutMs": 3000, "targetDurationMs": 1000, "priority": 1, "maxAttempts": maxAttempts, "stretch": 3.0}},
		"services": []any{map[string]any{"name": "svc"}},
		"tenants":  []any{map[string]any{"name": "t1", "apiKeys": []string{key}, "guaranteed": map[string]int{"gpu": 8}}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
	})
}

// startDaemons starts the project's program as the deploy file says.
func (d *deployment) startDaemons(n int) {
	for i := range n {
		name := fmt.Sprintf("edge-%d", i+1)
		ports := freePair()
		dm := &daemon{name: name, settings: filepath.Join(d.dir, name+".toml"), front: fmt.Sprintf("127.0.0.1:%d", freePort()), zone: fmt.Sprintf("z%d", 1+i%2)}
		text := fmt.Sprintf(settingsText, name, dm.zone, ports, ports+1, dm.front, fmt.Sprintf("127.0.0.1:%d", freePort()), d.storeAt)
		if err := os.WriteFile(dm.settings, []byte(text), 0o644); err != nil {
			panic(err)
		}
		d.daemons = append(d.daemons, dm)
		d.startDaemon(dm)
	}
}

func (d *deployment) startDaemon(dm *daemon) {
	logs, _ := os.OpenFile(filepath.Join(d.dir, dm.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	cmd := exec.Command(filepath.Join(d.target, "lentildeckd"), "-site", "platform")
	cmd.Env = append(os.Environ(), "LENTILDECK_SETTINGS="+dm.settings)
	cmd.Stdout, cmd.Stderr = logs, logs
	if err := cmd.Start(); err != nil {
		d.giveUp("cannot start a daemon: " + err.Error())
	}
	dm.cmd = cmd
	d.mu.Lock()
	d.procs[dm.name] = cmd
	d.mu.Unlock()
	go func() { _ = cmd.Wait() }()
	d.note("daemon %s started", dm.name)
}

// startRunner starts a stand-in runner as a process of its own.
func (d *deployment) startRunner(id string, args ...string) {
	if d.runners[id] == nil {
		d.runners[id] = append([]string{"runner", "-id", id, "-store", d.storeAt, "-address", fmt.Sprintf("127.0.0.1:%d", freePort())}, args...)
	}
	self, _ := os.Executable()
	cmd := exec.Command(self, d.runners[id]...)
	out, _ := cmd.StdoutPipe()
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		d.giveUp("cannot start a runner: " + err.Error())
	}
	d.mu.Lock()
	d.procs[id] = cmd
	d.mu.Unlock()
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			var e event
			if json.Unmarshal(lines.Bytes(), &e) != nil {
				continue
			}
			d.note("runner %s", lines.Text())
			d.mu.Lock()
			d.events = append(d.events, e)
			d.mu.Unlock()
		}
		_ = cmd.Wait()
	}()
}

// kill sends SIGKILL to a process that the test started.
func (d *deployment) kill(name string) {
	d.mu.Lock()
	cmd := d.procs[name]
	delete(d.procs, name)
	d.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		d.note("killed %s", name)
		d.mu.Lock()
		d.events = append(d.events, event{At: time.Now().UnixMilli(), What: "killed", Runner: name})
		d.mu.Unlock()
	}
}

func (d *deployment) seen() []event {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]event(nil), d.events...)
}

// call sends a client's request to one daemon, and returns its status and body; the status is zero without an answer.
func (d *deployment) call(dm *daemon, method, path string, body any) (int, map[string]any) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, _ := http.NewRequest(method, "http://"+dm.front+path, bytes.NewReader(data))
	req.Host = host
	req.Header.Set("Key", key)
	req.Header.Set("Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: 3 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		d.note("client %s %s at %s: %s -> %v", method, path, dm.name, data, err)
		return 0, nil
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	var out map[string]any
	_ = json.Unmarshal(text, &out)
	d.note("client %s %s at %s: %s -> %d %s", method, path, dm.name, data, resp.StatusCode, strings.TrimSpace(string(text)))
	return resp.StatusCode, out
}

// submit hands a job in, with retries as clients have them, and reports whether it was accepted.
func (d *deployment) submit(id string, job any) bool {
	for range 40 {
		for _, dm := range d.daemons {
			if status, _ := d.call(dm, "POST", prefix+id, job); status/100 == 2 {
				return true
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	return false
}

// state asks for the job's state, at one daemon after the other.
func (d *deployment) state(id string) string {
	for _, dm := range d.daemons {
		status, out := d.call(dm, "GET", prefix+id, nil)
		if status == 200 {
			return fmt.Sprint(out["state"])
		}
		if status == 410 {
			return "gone"
		}
	}
	return "no answer"
}

// await waits until the condition holds, and reports whether it did.
func await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// close ends all processes.
func (d *deployment) close() {
	d.mu.Lock()
	procs := d.procs
	d.procs = map[string]*exec.Cmd{}
	d.mu.Unlock()
	for _, cmd := range procs {
		_ = cmd.Process.Kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println(d.dir)
	}
}

// giveUp ends the test as one that couldn't run.
func (d *deployment) giveUp(why string) {
	d.note("could not run: %s", why)
	fmt.Println("could not run:", why)
	d.close()
	os.Exit(2)
}

// setStore makes the store answer 503 to everything, or ends that; leases pause meanwhile.
func (d *deployment) setStore(down bool) {
	d.store.setDown(down)
	d.note("store down: %t", down)
}

func containsText(data []byte, text string) bool { return bytes.Contains(data, []byte(text)) }

// verdict ends the test.
func (d *deployment) verdict(broken bool, what string) {
	d.note("%s", what)
	fmt.Println(what)
	d.close()
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}
