package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// deck is one process of the project, lentildeckd -site platform as in the deploy file, with its own way to the store.
type deck struct {
	name, zone, ip  string
	front, ready    string
	settings        string
	log             *os.File
	cmd             *exec.Cmd
	port            *port
	rec             *recorder
	binary, workdir string
}

const settingsText = `nodeName = "%[1]s"
role = "deck"
machineClass = "edge"
serves = ["edge"]
ip = "%[2]s"
zone = "%[3]s"
region = "thessalia"
internalPorts = [%[4]d,%[5]d]
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","places","platform"]
orders = "rpc"
[zones]
olympos = "thessalia"
ossa = "thessalia"
othrys = "thessalia"
[listen]
front = "%[6]s"
readiness = "%[7]s"
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
coldExcess = 1.5
coldSlack = 5
evacuateMs = 5000
recoveryS = 12
maxHoldMs = 6000
stopTimeoutMs = 400
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = 3
checkpointIntervalS = 2
restoreMs = 250
noticeMs = 4500
migrateS = 1.5
maintenanceS = 2
fencing = true
leaseMs = 3000
thawMs = 300
paceMs = 100
impactMs = 4000
reclaimMs = 2900
[platform]
address = "%[8]s"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
`

// freeBase returns a port p such that p to p+7 are free at the address.
func freeBase(ip string) int {
	for {
		base := 20000 + rand.IntN(1500)*8
		free := true
		for i := range 8 {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, base+i))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return base
		}
	}
}

func serve(handler http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, handler) }()
	return l.Addr().String(), nil
}

func (w *world) newDeck(name, zone, ip string) (*deck, error) {
	base := freeBase(ip)
	d := &deck{name: name, zone: zone, ip: ip, front: fmt.Sprintf("%s:%d", ip, base), ready: fmt.Sprintf("%s:%d", ip, base+1), rec: w.rec,
		port: &port{store: w.store}, binary: filepath.Join(w.root, "target", "lentildeckd"), workdir: w.root}
	address, err := serve(d.port)
	if err != nil {
		return nil, err
	}
	d.settings = filepath.Join(w.temp, name+".toml")
	text := fmt.Sprintf(settingsText, name, ip, zone, base+2, base+7, d.front, d.ready, address)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if d.log, err = os.Create(filepath.Join(w.temp, name+".log")); err != nil {
		return nil, err
	}
	return d, d.start()
}

func (d *deck) start() error {
	d.cmd = exec.Command(d.binary, "-site", "platform")
	d.cmd.Dir = d.workdir
	d.cmd.Env = []string{"LENTILDECK_SETTINGS=" + d.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	// The process ends with this one, whatever ends this one.
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.rec.log("%s starts (pid %d)", d.name, d.cmd.Process.Pid)
	return nil
}

// kill sends SIGKILL to the process and waits for its end.
func (d *deck) kill() {
	if d.cmd != nil && d.cmd.Process != nil {
		_ = d.cmd.Process.Kill()
		_ = d.cmd.Wait()
		d.cmd = nil
	}
}

func (d *deck) isReady() bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	r, err := c.Get("http://" + d.ready + "/ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == 200
}

// call is one attempt of a client; a status of 0 means that no answer came within the time budget.
func (d *deck) call(method, host, path, key, body string) (int, string) {
	const budget = 3 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	q, _ := http.NewRequestWithContext(ctx, method, "http://"+d.front+path, bytes.NewReader([]byte(body)))
	q.Host = host
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Key", key)
	q.Header.Set("Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	d.rec.log("client -> %s: %s %s %s", d.name, method, path, short(body))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Do(q)
	if err != nil {
		d.rec.log("client <- %s: %s %s: no answer (%v)", d.name, method, path, err)
		return 0, ""
	}
	defer r.Body.Close()
	data, _ := io.ReadAll(r.Body)
	d.rec.log("client <- %s: %s %s: %d %s", d.name, method, path, r.StatusCode, data)
	return r.StatusCode, string(data)
}

func short(text string) string {
	if len(text) > 300 {
		return text[:300] + "..."
	}
	return text
}

// owner returns the deck that holds the key "owner", or nil.
func (w *world) owner() *deck {
	value := w.store.owner()
	for _, d := range w.decks {
		if strings.Contains(value, `"`+d.name+`"`) {
			return d
		}
	}
	return nil
}
