package setup

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/limit"
	"github.com/lentildeck/lentildeck/internal/edge/worker"
	"github.com/lentildeck/lentildeck/internal/kern/span"
	"github.com/lentildeck/lentildeck/internal/peer/list"
	"github.com/lentildeck/lentildeck/internal/place/engine"
	"github.com/lentildeck/lentildeck/internal/state/lease"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/tailscale/hujson"
)

// Listen holds the addresses (IP and port) on which the daemon listens.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// Store configures access to the key-value store and the rate limit for calls to it.
type Store struct {
	Driver         string  `json:"driver"`
	Endpoint       string  `json:"endpoint"`
	CallsPerSecond float64 `json:"callsPerSecond"`
	Burst          float64 `json:"burst"`
}

// List configures where and how often the instance list is read.
type List struct {
	Driver       string        `json:"driver"`
	Endpoint     string        `json:"endpoint"`
	PollInterval span.Duration `json:"every"`
}

// Workers configures access to the workers, and the lease and poll interval of their tasks.
type Workers struct {
	Driver string `json:"driver"`
	// Endpoint is a URL template; {worker} is replaced by the worker's name.
	Endpoint     string        `json:"endpoint"`
	Token        string        `json:"token"`
	Lease        span.Duration `json:"lease"`
	PollInterval span.Duration `json:"every"`
}

// Quick holds limits and timeouts of quick requests.
type Quick struct {
	Slots          int           `json:"slots"`
	Connections    int           `json:"connections"`
	QueueLimit     int           `json:"queueLimit"`
	Timeout        span.Duration `json:"timeout"`
	AttemptTimeout span.Duration `json:"attemptTimeout"`
	PingInterval   span.Duration `json:"pingEvery"`
	MaxBodyBytes   int           `json:"maxBodyBytes"`
}

// Limits holds what the instance may use of its machine, from which the limits for all clients together are derived.
type Limits struct {
	MemoryMB int64 `json:"memoryMb"`
	MaxFiles int   `json:"maxFds"`
}

// Machine returns the limits as package limit needs them.
func (l *Limits) Machine() limit.Machine {
	return limit.Machine{MemoryMB: l.MemoryMB, Descriptors: l.MaxFiles}
}

// Operators holds the token that operators authenticate with.
type Operators struct {
	Token string `json:"token"`
}

// Keys holds the paths of the TLS files for connections between instances and from operators; all empty means plain TCP.
type Keys struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// Log sets the level and the format of the log.
type Log struct {
	Level  string `json:"level"`
	Format string `json:"format"`
}

// Settings is the content of the settings file.
type Settings struct {
	Instance   string    `json:"instance"`
	DataCentre string    `json:"dataCentre"`
	Policy     string    `json:"policy"`
	Listen     Listen    `json:"listen"`
	Store      Store     `json:"store"`
	List       List      `json:"list"`
	Workers    Workers   `json:"workers"`
	Quick      Quick     `json:"quick"`
	Limits     Limits    `json:"limits"`
	Operators  Operators `json:"operators"`
	Keys       Keys      `json:"keys"`
	Log        Log       `json:"log"`
	// BalancerLag is how long the balancer may keep sending requests after the instance reports that it is not ready.
	BalancerLag span.Duration `json:"balancerLag"`
	Seed        uint64        `json:"seed"`
}

// Default returns the default settings; settings without a default keep their zero value.
func Default() Settings {
	return Settings{
		Policy: engine.DefaultPolicy,
		Store:  Store{Driver: "http", CallsPerSecond: 60, Burst: 60},
		List:   List{Driver: "http", PollInterval: span.Of(time.Second)},
		Workers: Workers{
			Driver: "http", Lease: span.Of(6 * time.Second), PollInterval: span.Of(time.Second),
		},
		Quick: Quick{
			Slots: 8, Connections: 64, QueueLimit: 512, Timeout: span.Of(10 * time.Second),
			AttemptTimeout: span.Of(4 * time.Second), PingInterval: span.Of(time.Second), MaxBodyBytes: 4 << 20,
		},
		Limits:      Limits{MemoryMB: limit.DefaultMemoryMB, MaxFiles: limit.DefaultDescriptors},
		Log:         Log{Level: "info", Format: "json"},
		BalancerLag: span.Of(2 * time.Second),
	}
}

// Parse decodes JSON with comments over the defaults and validates the result.
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

// Load reads the settings file at path and validates it.
func Load(path string) (Settings, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(source)
}

// Validate checks every setting and returns an *InvalidError that lists all invalid ones, or nil.
func (s *Settings) Validate() error {
	v := &Validator{}
	v.Check(s.Instance != "", "instance", s.Instance, "a name that no other instance has")
	v.Check(s.DataCentre != "", "dataCentre", s.DataCentre, "the name of the data centre that the instance runs in")
	_, err := engine.Policies.Lookup(s.Policy)
	v.Check(err == nil, "policy", s.Policy, fmt.Sprint(engine.Policies.Names()))
	s.Listen.validate(v)
	s.Store.validate(v)
	s.List.validate(v)
	s.Workers.validate(v)
	s.Quick.validate(v)
	v.Check(s.Limits.Machine().Check() == nil, "limits", s.Limits, "memoryMb of 32 or more and maxFds of 128 or more, or 0 for the defaults")
	v.Check(len(s.Operators.Token) >= minTokenLength, "operators.token", redacted(s.Operators.Token), "16 or more characters")
	s.Keys.validate(v)
	v.Check(s.Log.Level == "debug" || s.Log.Level == "info" || s.Log.Level == "warn" || s.Log.Level == "error", "log.level", s.Log.Level, "debug, info, warn or error")
	v.Check(s.Log.Format == "json" || s.Log.Format == "text", "log.format", s.Log.Format, "json or text")
	v.Check(s.BalancerLag.Duration >= 0, "balancerLag", s.BalancerLag.String(), "0s or more")
	return v.Err()
}

// ownerTakeoverTime is the time from the expiry of the old owner's lease until the new owner has called every worker.
const ownerTakeoverTime = 2 * time.Second

// minTokenLength is the minimum length of a token in bytes; shorter tokens are easier to guess.
const minTokenLength = 16

// redacted returns the length of a secret as text, without the secret.
func redacted(secret string) string { return fmt.Sprintf("(%d characters)", len(secret)) }

func (l *Listen) validate(v *Validator) {
	for _, field := range []struct{ path, address string }{
		{"listen.callers", l.Callers}, {"listen.operators", l.Operators}, {"listen.peers", l.Peers},
	} {
		_, _, err := net.SplitHostPort(field.address)
		v.Check(err == nil, field.path, field.address, "an IP address and a port such as 127.0.0.1:7001")
	}
}

func (s *Store) validate(v *Validator) {
	_, err := store.Drivers.Lookup(s.Driver)
	v.Check(err == nil, "store.driver", s.Driver, fmt.Sprint(store.Drivers.Names()))
	v.Check(s.Endpoint != "", "store.endpoint", s.Endpoint, "a URL such as http://127.0.0.1:7100")
	v.Check(s.CallsPerSecond >= 10, "store.callsPerSecond", s.CallsPerSecond, "10 or more")
	v.Check(s.Burst >= 20, "store.burst", s.Burst, "20 or more")
}

func (l *List) validate(v *Validator) {
	_, err := list.Drivers.Lookup(l.Driver)
	v.Check(err == nil, "list.driver", l.Driver, fmt.Sprint(list.Drivers.Names()))
	v.Check(l.Endpoint != "", "list.endpoint", l.Endpoint, "a URL such as http://127.0.0.1:7100")
	v.Check(l.PollInterval.Duration >= 100*time.Millisecond, "list.every", l.PollInterval.String(), "100ms or more")
}

func (w *Workers) validate(v *Validator) {
	_, err := worker.Drivers.Lookup(w.Driver)
	v.Check(err == nil, "workers.driver", w.Driver, fmt.Sprint(worker.Drivers.Names()))
	v.Check(w.Endpoint != "", "workers.endpoint", w.Endpoint, "a URL such as http://127.0.0.1:7200/workers/{worker}")
	v.Check(len(w.Token) >= minTokenLength, "workers.token", redacted(w.Token), "16 or more characters")
	v.Check(w.PollInterval.Duration >= 50*time.Millisecond, "workers.every", w.PollInterval.String(), "50ms or more")
	v.Check(w.Lease.Duration >= 3*w.PollInterval.Duration, "workers.lease", w.Lease.String(), "three times workers.every or more")
	v.Check(w.Lease.Duration >= lease.TTL+ownerTakeoverTime, "workers.lease", w.Lease.String(),
		fmt.Sprintf("%s or more, so that tasks keep running during a change of owner", lease.TTL+ownerTakeoverTime))
}

func (q *Quick) validate(v *Validator) {
	v.Check(q.Slots >= 1, "quick.slots", q.Slots, "1 or more")
	v.Check(q.Connections >= q.Slots, "quick.connections", q.Connections, "quick.slots or more")
	v.Check(q.QueueLimit >= 1, "quick.queueLimit", q.QueueLimit, "1 or more")
	v.Check(q.Timeout.Duration > 0, "quick.timeout", q.Timeout.String(), "more than 0s")
	v.Check(q.AttemptTimeout.Duration > 0 && q.AttemptTimeout.Duration <= q.Timeout.Duration, "quick.attemptTimeout", q.AttemptTimeout.String(), "more than 0s and at most quick.timeout")
	v.Check(q.PingInterval.Duration >= 50*time.Millisecond, "quick.pingEvery", q.PingInterval.String(), "50ms or more")
	v.Check(q.MaxBodyBytes >= 1024, "quick.maxBodyBytes", q.MaxBodyBytes, "1024 or more")
}

func (k *Keys) validate(v *Validator) {
	given := k.Certificate != "" || k.Key != "" || k.Authority != ""
	complete := k.Certificate != "" && k.Key != "" && k.Authority != ""
	v.Check(!given || complete, "keys", *k, "certificate, key and authority together, or none of them")
}

// SyntaxError reports that the file is not valid JSON with comments, has an unknown field or a value of the wrong type.
type SyntaxError struct{ Cause string }

// Error returns the decoder's message with the prefix "settings: ".
func (e *SyntaxError) Error() string { return "settings: " + e.Cause }
