package crowd_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/soak/site"
	"github.com/lentildeck/lentildeck/internal/soak/store"
	"gotest.tools/v3/assert"
)

const (
	// memoryMB and maxDescriptors are the limits in the settings of the process, and the bounds that it is held to. The smallest
	// machine has 144 MB and 3,075 descriptors; lower limits allow a smaller crowd.
	memoryMB       = 96
	maxDescriptors = 600
	// patience bounds waits that end earlier on any machine that makes progress.
	patience = 30 * time.Second
)

// process is a running lentildeckd with a stand-in of the platform's store.
type process struct {
	front, readiness string
	pid              int
	log              string
	ended            chan error
}

// binary is the path of lentildeckd, which TestMain builds once.
var binary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() {
		if err := os.RemoveAll(folder); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}()
	binary = filepath.Join(folder, "lentildeckd")
	if out, err := exec.Command("go", "build", "-o", binary, "../../../cmd/lentildeckd").CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, err, string(out))
		return 1
	}
	return m.Run()
}

// start starts lentildeckd and waits until it is ready. The test's end kills it.
func start(t *testing.T) *process {
	t.Helper()
	folder := t.TempDir()
	p := &process{front: freeAddress(t), readiness: freeAddress(t), log: filepath.Join(folder, "log"), ended: make(chan error, 1)}
	settings := filepath.Join(folder, "settings.toml")
	assert.NilError(t, os.WriteFile(settings, []byte(p.settings(t, startStore(t))), 0o600))
	log, err := os.Create(p.log)
	assert.NilError(t, err)
	cmd := exec.Command(binary, "-site", "platform")
	cmd.Env = []string{"LENTILDECK_SETTINGS=" + settings, "GOMAXPROCS=2"}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(t, cmd.Start())
	p.pid = cmd.Process.Pid
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.ended <- cmd.Wait()
	}()
	t.Cleanup(func() {
		if err := cmd.Process.Kill(); err != nil {
			t.Log(err)
		}
		<-done
		assert.NilError(t, log.Close())
	})
	p.await(t, "http://"+p.readiness+"/")
	return p
}

// startStore starts a stand-in of the platform's store with a configuration, and returns its address.
func startStore(t *testing.T) string {
	t.Helper()
	s := store.New(store.Limits{WritesPerS: 400, ReadsPerS: 2000, Delay: time.Millisecond, History: 20 * time.Second})
	t.Cleanup(s.Close)
	small, err := site.Find("small")
	assert.NilError(t, err)
	assert.NilError(t, s.Put(time.Now(), "op/config", small.Config(1)))
	server := httptest.NewServer(s.Port("n1", 0, 1))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func (p *process) settings(t *testing.T, storeAddress string) string {
	t.Helper()
	small, err := site.Find("small")
	assert.NilError(t, err)
	text := small.Settings(site.Instance{
		Name: "n1", DataCentre: small.DataCentres[0], IP: "127.0.0.1", Front: p.front, Readiness: p.readiness,
		StoreAddress: storeAddress, Machines: site.Machines{MemoryMB: memoryMB, CPUShare: 0.8, Mbps: 200}, Bootstrap: true,
	})
	text = strings.Replace(text, "internalPorts = [0,0]", "internalPorts = []", 1)
	return strings.Replace(text, "maxFds = 4100", fmt.Sprintf("maxFds = %d", maxDescriptors), 1)
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, l.Close()) }()
	return l.Addr().String()
}

// await repeats a request until it is answered with 200.
func (p *process) await(t *testing.T, url string) {
	t.Helper()
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	var last string
	for begin := time.Now(); time.Since(begin) < patience; time.Sleep(50 * time.Millisecond) {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
		assert.NilError(t, err)
		request.Host = site.Host
		request.Header.Set("Key", site.Key(0))
		response, err := client.Do(request)
		if err != nil {
			last = err.Error()
			continue
		}
		body, err := io.ReadAll(response.Body)
		last = fmt.Sprint(response.Status, " ", string(body), " ", err)
		assert.NilError(t, response.Body.Close())
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatalf("%s is not answered: %s\n%s", url, last, p.lastLines(t))
}

func (p *process) lastLines(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile(p.log)
	assert.NilError(t, err)
	lines := strings.Split(string(data), "\n")
	return strings.Join(lines[max(0, len(lines)-20):], "\n")
}

// peakMemory returns the largest resident size of the process so far, in MB.
func (p *process) peakMemory(t *testing.T) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	assert.NilError(t, err)
	_, rest, found := strings.Cut(string(data), "VmHWM:")
	assert.Assert(t, found, "no VmHWM in %q", data)
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	assert.NilError(t, err)
	return kb / 1024
}

// descriptors returns the number of open descriptors, or zero if the process has ended.
func (p *process) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// withstands plays the crowd and checks that the process lives, stays within its limits and answers an ordinary request afterwards.
func (p *process) withstands(t *testing.T, c crowd) {
	t.Helper()
	most, stop, done := 0, make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			most = max(most, p.descriptors())
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	sent := c.play(t)
	close(stop)
	<-done
	select {
	case err := <-p.ended:
		t.Fatalf("the process ended: %v\n%s", err, p.lastLines(t))
	default:
	}
	memory := p.peakMemory(t)
	t.Logf("%d connections sent all they had to; peak memory %d MB, descriptors %d", sent, memory, most)
	assert.Check(t, memory <= memoryMB, "peak memory: %d MB, the machine has %d", memory, memoryMB)
	assert.Check(t, most <= maxDescriptors, "open descriptors: %d, the machine has %d", most, maxDescriptors)
	p.await(t, "http://"+p.front+"/accrual/")
}
