package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// bounds are those of a site file's page; they go into the settings of each instance.
type bounds struct{ text string }

// world is one small deployment: the store, the runners and the instances.
type world struct {
	rec      *record
	dir      string
	root     string
	trouble  bool
	store    *store
	storeAt  string
	zones    []string
	bounds   string
	nodes    []*node
	runners  []*runner
	client   *http.Client
	closed   []func()
	key      string
	hostName string
}

// node is one instance, a process of the project.
type node struct {
	name, zone, ip, front string
	w                     *world
	settings              string
	mu                    sync.Mutex
	cmd                   *exec.Cmd
	stopping              bool
	log                   *os.File
}

func newWorld(zones []string, boundsText string) *world {
	root, err := os.Getwd()
	check(err)
	dir, err := os.MkdirTemp("", "standin3")
	check(err)
	out := os.Getenv("RECORD")
	file, err := os.Create(out)
	check(err)
	w := &world{
		rec: &record{file: file, began: time.Now()}, dir: dir, root: root, trouble: os.Getenv("TROUBLE") != "0", zones: zones, bounds: boundsText,
		store: newStore(), key: "d4a3hwrr6x73d3zji9n7", hostName: "nony24.example",
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	w.storeAt = listener.Addr().String()
	server := &http.Server{Handler: w.store}
	go func() { _ = server.Serve(listener) }()
	w.closed = append(w.closed, func() { _ = server.Close() })
	return w
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		cleanup()
		os.Exit(2)
	}
}

var current *world

func cleanup() {
	if current == nil {
		return
	}
	for _, n := range current.nodes {
		n.end()
	}
	for _, f := range current.closed {
		f()
	}
	_ = os.RemoveAll(current.dir)
}

// freePorts returns the first of two free neighbouring ports.
func freePorts(ip string) int {
	for range 200 {
		a, err := net.Listen("tcp4", ip+":0")
		check(err)
		port := a.Addr().(*net.TCPAddr).Port
		b, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port+1))
		_ = a.Close()
		if err == nil {
			_ = b.Close()
			return port
		}
	}
	check(fmt.Errorf("no free ports"))
	return 0
}

func (w *world) addNode(zone string) *node {
	i := len(w.nodes)
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%250, 10+i)
	n := &node{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: ip, w: w}
	n.front = fmt.Sprintf("%s:%d", ip, freePorts(ip))
	ready := fmt.Sprintf("%s:%d", ip, freePorts(ip))
	ports := freePorts(ip)
	n.settings = filepath.Join(w.dir, n.name+".toml")
	var zoneLines strings.Builder
	for _, z := range w.zones {
		fmt.Fprintf(&zoneLines, "%s = \"region\"\n", z)
	}
	text := fmt.Sprintf(`nodeName = %q
role = "deck"
machineClass = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = "region"
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
%s
[listen]
front = %q
readiness = %q
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
%s
[platform]
address = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
[cloudApi]
address = %q
ratePerS = 60.0
duties = []
dutyPerS = 60.0
`, n.name, ip, zone, ports, ports+1, zoneLines.String(), n.front, ready, w.bounds, w.storeAt, w.storeAt)
	check(os.WriteFile(n.settings, []byte(text), 0o644))
	w.nodes = append(w.nodes, n)
	return n
}

// deployRun returns the command of the deploy file's role.
func (w *world) deployRun() []string {
	data, err := os.ReadFile(filepath.Join(w.root, "deploy/system.toml"))
	check(err)
	for _, line := range strings.Split(string(data), "\n") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(text, `"`))
		}
	}
	check(fmt.Errorf("deploy/system.toml names no command"))
	return nil
}

func (n *node) start() {
	args := n.w.deployRun()
	cmd := exec.Command(filepath.Join(n.w.root, args[0]), args[1:]...)
	cmd.Dir = n.w.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LENTILDECK_SETTINGS=" + n.settings}
	// The case ends all processes that it started, also if it is killed itself.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if logs := os.Getenv("NODE_LOGS"); logs != "" {
		file, err := os.OpenFile(filepath.Join(logs, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		check(err)
		cmd.Stdout, cmd.Stderr = file, file
	}
	check(cmd.Start())
	n.mu.Lock()
	n.cmd = cmd
	n.mu.Unlock()
	n.w.rec.add("instance %s starts", n.name)
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		defer n.mu.Unlock()
		if !n.stopping {
			n.w.rec.add("instance %s ended by itself: %v", n.name, err)
		}
	}()
}

func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil && n.cmd.Process != nil {
		n.w.rec.add("instance %s gets %v", n.name, sig)
		_ = n.cmd.Process.Signal(sig)
	}
}

func (n *node) end() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopping = true
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Kill()
	}
}

// answer is a response to a client; status 0 stands for none.
type answer struct {
	status int
	body   map[string]any
}

// call makes one client's call to one instance and records it.
func (w *world) call(n *node, method, path string, body any, quiet bool) answer {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		check(err)
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequest(method, "http://"+n.front+path, reader)
	check(err)
	request.Host = w.hostName
	request.Header.Set("Key", w.key)
	request.Header.Set("Deadline-Ms", "3000")
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	a := answer{}
	response, err := w.client.Do(request)
	if err == nil {
		a.status = response.StatusCode
		_ = json.NewDecoder(response.Body).Decode(&a.body)
		_ = response.Body.Close()
	}
	if !quiet {
		w.rec.add("client: %s %s at %s -> %d %v", method, path, n.name, a.status, a.body)
	}
	return a
}

// submit hands a job in, at one instance after the other, until it is accepted.
func (w *world) submit(path string, body any) {
	for i := 0; i < 100; i++ {
		if a := w.call(w.nodes[i%len(w.nodes)], "POST", path, body, false); a.status/100 == 2 {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	check(fmt.Errorf("no instance accepted the job"))
}

// state asks one instance after the other for the job's state.
func (w *world) state(path string) string {
	for i := 0; i < 20; i++ {
		a := w.call(w.nodes[i%len(w.nodes)], "GET", path, nil, true)
		if s, ok := a.body["state"].(string); ok && a.status == 200 {
			return s
		}
		if a.status == 410 {
			return "410"
		}
		time.Sleep(50 * time.Millisecond)
	}
	return "no answer"
}

func (w *world) addRunner(i int, zone string, labels []string) *runner {
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%250, 100+i)
	r := &runner{
		id: fmt.Sprintf("i-%04x", 0x7a00+i), address: fmt.Sprintf("%s:%d", ip, freePorts(ip)), zone: zone, service: "huvo11a", labels: labels,
		cpu: 64000, mem: 131072, gpu: 8, store: w.store, rec: w.rec, maxHold: 6 * time.Second, stopTimeout: 400 * time.Millisecond, gangTimeout: 3 * time.Second,
		heartbeat: 1500 * time.Millisecond,
	}
	w.runners = append(w.runners, r)
	return r
}

// route is one queue of the configuration.
func route(name, prefix string, priority, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "nony24.example", "prefix": prefix, "type": "non_idempotent", "timeoutMs": 3000, "targetDurationMs": 3000, "priority": priority,
		"service": "huvo11a", "maxAttempts": attempts, "stretch": 3.0, "public": false,
	}
}

func (w *world) config(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": "huvo11a", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "coldStartS": 0.0,
			"coldPerS": 0.0, "rejectsOverload": false, "standby": false}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "kaje80", "apiKeys": []string{w.key}, "priority": 1, "guaranteed": map[string]int{"gpu": 16}}},
	}
}

// begin starts all runners and instances, and waits until each instance answers a client.
func (w *world) begin(path string) {
	for _, r := range w.runners {
		check(r.start())
	}
	// All instances start within 0.3 s of each other, in any order.
	for _, i := range rand.Perm(len(w.nodes)) {
		w.nodes[i].start()
		time.Sleep(290 * time.Millisecond / time.Duration(len(w.nodes)))
	}
	until := time.Now().Add(15 * time.Second)
	for _, n := range w.nodes {
		for w.call(n, "GET", path, nil, true).status != 200 {
			if time.Now().After(until) {
				check(fmt.Errorf("instance %s doesn't answer", n.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// An owner must be there.
	for w.store.value("owner") == nil {
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	w.rec.add("all instances answer, owner %s", w.owner())
}

// owner returns the name of the instance that holds the owner's key.
func (w *world) owner() string {
	var o struct {
		Instance string `json:"instance"`
	}
	_ = json.Unmarshal(w.store.value("owner"), &o)
	return o.Instance
}
