package setup

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/worker"
	"github.com/lentildeck/lentildeck/internal/kern/span"
	"github.com/lentildeck/lentildeck/internal/peer/list"
	"github.com/lentildeck/lentildeck/internal/place/engine"
	"github.com/lentildeck/lentildeck/internal/state/lease"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/tailscale/hujson"
)

// Listen is where the daemon takes calls.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// Store is how to reach the key-value service.
type Store struct {
	Driver         string  `json:"driver"`
	Endpoint       string  `json:"endpoint"`
	CallsPerSecond float64 `json:"callsPerSecond"`
	Burst          float64 `json:"burst"`
}

// List is how to read the instance list.
type List struct {
	Driver   string        `json:"driver"`
	Endpoint string        `json:"endpoint"`
	Every    span.Duration `json:"every"`
}

// Workers is how to reach workers.
type Workers struct {
	Driver string `json:"driver"`
	// Endpoint is a URL in which {worker} stands for the worker's name.
	Endpoint string        `json:"endpoint"`
	Token    string        `json:"token"`
	Lease    span.Duration `json:"lease"`
	Every    span.Duration `json:"every"`
}

// Quick limits quick requests.
type Quick struct {
	Slots          int           `json:"slots"`
	Connections    int           `json:"connections"`
	QueueLimit     int           `json:"queueLimit"`
	Timeout        span.Duration `json:"timeout"`
	AttemptTimeout span.Duration `json:"attemptTimeout"`
	PingEvery      span.Duration `json:"pingEvery"`
	MaxBodyBytes   int           `json:"maxBodyBytes"`
}

// Operators is who may command.
type Operators struct {
	Token string `json:"token"`
}

// Keys are the files for TLS between instances and towards operators; all empty means plain TCP.
type Keys struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// Log says how much is logged.
type Log struct {
	Level  string `json:"level"`
	Format string `json:"format"`
}

// Settings is the whole file.
type Settings struct {
	Instance   string    `json:"instance"`
	DataCentre string    `json:"dataCentre"`
	Policy     string    `json:"policy"`
	Listen     Listen    `json:"listen"`
	Store      Store     `json:"store"`
	List       List      `json:"list"`
	Workers    Workers   `json:"workers"`
	Quick      Quick     `json:"quick"`
	Operators  Operators `json:"operators"`
	Keys       Keys      `json:"keys"`
	Log        Log       `json:"log"`
	// BalancerLag is how long the balancer may go on sending requests after readiness is off.
	BalancerLag span.Duration `json:"balancerLag"`
	Seed        uint64        `json:"seed"`
}

// Default returns settings with everything set that has a sensible default.
func Default() Settings {
	return Settings{
		Policy: engine.DefaultPolicy,
		Store:  Store{Driver: "http", CallsPerSecond: 60, Burst: 60},
		List:   List{Driver: "http", Every: span.Of(time.Second)},
		Workers: Workers{
			Driver: "http", Lease: span.Of(6 * time.Second), Every: span.Of(time.Second),
		},
		Quick: Quick{
			Slots: 8, Connections: 64, QueueLimit: 512, Timeout: span.Of(10 * time.Second),
			AttemptTimeout: span.Of(4 * time.Second), PingEvery: span.Of(time.Second), MaxBodyBytes: 4 << 20,
		},
		Log:         Log{Level: "info", Format: "json"},
		BalancerLag: span.Of(2 * time.Second),
	}
}

// Parse reads settings from JSON with comments, on top of the defaults, and checks them.
func Parse(source []byte) (Settings, error) {
	settings := Default()
	standard, err := hujson.Standardize(source)
	if err != nil {
		return settings, &SyntaxError{Cause: err.Error()}
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		return settings, &SyntaxError{Cause: err.Error()}
	}
	return settings, settings.Validate()
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(source)
}

// Validate checks every setting and lists all mistakes at once.
func (s *Settings) Validate() error {
	r := &Report{}
	r.Check(s.Instance != "", "instance", s.Instance, "a name that no other instance has")
	r.Check(s.DataCentre != "", "dataCentre", s.DataCentre, "the name of the data centre that the instance stands in")
	_, err := engine.Policies.Lookup(s.Policy)
	r.Check(err == nil, "policy", s.Policy, fmt.Sprint(engine.Policies.Names()))
	s.Listen.validate(r)
	s.Store.validate(r)
	s.List.validate(r)
	s.Workers.validate(r)
	s.Quick.validate(r)
	r.Check(len(s.Operators.Token) >= minTokenLength, "operators.token", hidden(s.Operators.Token), "16 or more characters")
	s.Keys.validate(r)
	r.Check(s.Log.Level == "debug" || s.Log.Level == "info" || s.Log.Level == "warn" || s.Log.Level == "error", "log.level", s.Log.Level, "debug, info, warn or error")
	r.Check(s.Log.Format == "json" || s.Log.Format == "text", "log.format", s.Log.Format, "json or text")
	r.Check(s.BalancerLag.Duration >= 0, "balancerLag", s.BalancerLag.String(), "0s or more")
	return r.Err()
}

// takeOver is how long a new owner needs from the lapse of the old lease until it has called every worker.
const takeOver = 2 * time.Second

// minTokenLength keeps tokens from being guessed.
const minTokenLength = 16

// hidden shows how long a secret is, never the secret.
func hidden(secret string) string { return fmt.Sprintf("(%d characters)", len(secret)) }

func (l *Listen) validate(r *Report) {
	for _, field := range []struct{ path, address string }{
		{"listen.callers", l.Callers}, {"listen.operators", l.Operators}, {"listen.peers", l.Peers},
	} {
		_, _, err := net.SplitHostPort(field.address)
		r.Check(err == nil, field.path, field.address, "an IP number and a port such as 127.0.0.1:7001")
	}
}

func (s *Store) validate(r *Report) {
	_, err := store.Drivers.Lookup(s.Driver)
	r.Check(err == nil, "store.driver", s.Driver, fmt.Sprint(store.Drivers.Names()))
	r.Check(s.Endpoint != "", "store.endpoint", s.Endpoint, "a URL such as http://127.0.0.1:7100")
	r.Check(s.CallsPerSecond >= 10, "store.callsPerSecond", s.CallsPerSecond, "10 or more")
	r.Check(s.Burst >= 20, "store.burst", s.Burst, "20 or more")
}

func (l *List) validate(r *Report) {
	_, err := list.Drivers.Lookup(l.Driver)
	r.Check(err == nil, "list.driver", l.Driver, fmt.Sprint(list.Drivers.Names()))
	r.Check(l.Endpoint != "", "list.endpoint", l.Endpoint, "a URL such as http://127.0.0.1:7100")
	r.Check(l.Every.Duration >= 100*time.Millisecond, "list.every", l.Every.String(), "100ms or more")
}

func (w *Workers) validate(r *Report) {
	_, err := worker.Drivers.Lookup(w.Driver)
	r.Check(err == nil, "workers.driver", w.Driver, fmt.Sprint(worker.Drivers.Names()))
	r.Check(w.Endpoint != "", "workers.endpoint", w.Endpoint, "a URL such as http://127.0.0.1:7200/workers/{worker}")
	r.Check(len(w.Token) >= minTokenLength, "workers.token", hidden(w.Token), "16 or more characters")
	r.Check(w.Every.Duration >= 50*time.Millisecond, "workers.every", w.Every.String(), "50ms or more")
	r.Check(w.Lease.Duration >= 3*w.Every.Duration, "workers.lease", w.Lease.String(), "three times workers.every or more")
	r.Check(w.Lease.Duration >= lease.TTL+takeOver, "workers.lease", w.Lease.String(),
		fmt.Sprintf("%s or more, so that tasks outlive a change of the owner", lease.TTL+takeOver))
}

func (q *Quick) validate(r *Report) {
	r.Check(q.Slots >= 1, "quick.slots", q.Slots, "1 or more")
	r.Check(q.Connections >= q.Slots, "quick.connections", q.Connections, "quick.slots or more")
	r.Check(q.QueueLimit >= 1, "quick.queueLimit", q.QueueLimit, "1 or more")
	r.Check(q.Timeout.Duration > 0, "quick.timeout", q.Timeout.String(), "more than 0s")
	r.Check(q.AttemptTimeout.Duration > 0 && q.AttemptTimeout.Duration <= q.Timeout.Duration, "quick.attemptTimeout", q.AttemptTimeout.String(), "more than 0s and at most quick.timeout")
	r.Check(q.PingEvery.Duration >= 50*time.Millisecond, "quick.pingEvery", q.PingEvery.String(), "50ms or more")
	r.Check(q.MaxBodyBytes >= 1024, "quick.maxBodyBytes", q.MaxBodyBytes, "1024 or more")
}

func (k *Keys) validate(r *Report) {
	set := k.Certificate != "" || k.Key != "" || k.Authority != ""
	whole := k.Certificate != "" && k.Key != "" && k.Authority != ""
	r.Check(!set || whole, "keys", *k, "certificate, key and authority together, or none of them")
}

// SyntaxError says that the file is not JSON with comments or has a field that does not exist.
type SyntaxError struct{ Cause string }

// Error gives the cause.
func (e *SyntaxError) Error() string { return "settings: " + e.Cause }
