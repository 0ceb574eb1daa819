// Package config holds the settings of an instance: the struct, its defaults, its
// validation, and the parser of its TOML form. docs/operators/settings.md describes
// every key.
package config

import (
	"fmt"
	"time"

	"lynxhill.example/lynxhill/internal/auth"
	"lynxhill.example/lynxhill/internal/claim"
	"lynxhill.example/lynxhill/internal/storeclient"
)

// Config holds the settings of one instance. Every duration is a string with a unit,
// such as "250ms".
type Config struct {
	Instance Instance `toml:"instance"`
	Listen   Listen   `toml:"listen"`
	Platform Platform `toml:"platform"`
	TLS      TLS      `toml:"tls"`
	Tokens   Tokens   `toml:"tokens"`
	Peers    Peers    `toml:"peers"`
	Limits   Limits   `toml:"limits"`
	Timings  Timings  `toml:"timings"`
	Routing  Routing  `toml:"routing"`
	Claims   Claims   `toml:"claims"`
	Ingress  Ingress  `toml:"ingress"`
	Overload Overload `toml:"overload"`
	Log      Log      `toml:"log"`
	Debug    Debug    `toml:"debug"`
}

// Instance holds the identity and the location of the instance.
type Instance struct {
	ID     string `toml:"id"`     // unique among instances; "" = zone and caller address
	Zone   string `toml:"place"`  // availability zone; required
	Region string `toml:"region"` // required
}

// Listen holds the listen addresses, each an IP address with a port. With port 0 the
// system chooses a port.
type Listen struct {
	Caller string `toml:"caller"`
	Admin  string `toml:"admin"`
	Peer   string `toml:"peer"`
	// The advertise addresses are announced to callers and other instances instead of
	// the listen addresses; "" = the listen address.
	AdvertiseCaller string `toml:"advertise_caller"`
	AdvertiseAdmin  string `toml:"advertise_admin"`
	AdvertisePeer   string `toml:"advertise_peer"`
}

// Platform holds the addresses of the platform's object API and instance list, and the
// budget of calls.
type Platform struct {
	Endpoints []string `toml:"endpoints"`  // http://IP:port or https://IP:port; any of them may respond
	TokenFile string   `toml:"token_file"` // file with the bearer token; "" = none
	CAFile    string   `toml:"ca_file"`    // for https; "" = the system's
	// Call rates of all instances together; each instance uses a share of them.
	WritesPerSecond int `toml:"writes_per_second"`
	ReadsPerSecond  int `toml:"reads_per_second"`
	Watches         int `toml:"watches"` // of one instance, waiting at the same time
	// Contracts names what the platform asks of the deployment, in the platform's words;
	// the adapter translates them.
	Contracts []string `toml:"contracts"`
}

// TLS holds the files of each listener.
type TLS struct {
	Caller TLSFiles `toml:"caller"`
	Admin  TLSFiles `toml:"admin"`
	Peer   TLSFiles `toml:"peer"`
}

// TLSFiles are PEM files; they are reloaded when they change. Without CertFile and
// KeyFile the listener speaks plain HTTP. With ClientCAFile a client has to present a
// certificate of that CA.
type TLSFiles struct {
	CertFile     string `toml:"cert_file"`
	KeyFile      string `toml:"key_file"`
	ClientCAFile string `toml:"client_ca_file"`
}

// Enabled reports whether the listener speaks TLS.
func (f TLSFiles) Enabled() bool { return f.CertFile != "" }

// Tokens holds the tokens of callers and operators, as hashes. The entries of File are
// added to those listed here; File is reloaded when it changes.
type Tokens struct {
	File     string               `toml:"file"`
	Caller   []auth.CallerToken   `toml:"caller"`
	Operator []auth.OperatorToken `toml:"operator"`
}

// Set returns the tokens listed in the settings, without those of File.
func (t Tokens) Set() auth.Tokens {
	return auth.Tokens{Caller: t.Caller, Operator: t.Operator}
}

// Peers holds addresses of other instances that are contacted first.
type Peers struct {
	Seeds []string `toml:"seeds"` // IP:port of peer listeners, in addition to the platform's instance list
}

// Limits limit the memory and the concurrent requests of one instance.
type Limits struct {
	MaxBodyKB   int `toml:"max_body_kb"`   // body of a request
	MaxAnswerKB int `toml:"max_answer_kb"` // whole answer
	MaxInFlight int `toml:"max_in_flight"` // concurrent requests
	MaxQueued   int `toml:"max_queued"`    // those of them that wait for a target
	MemoryMB    int `toml:"memory_mb"`     // of the process, MiB; 0 = not bounded
	Descriptors int `toml:"descriptors"`   // open files and sockets of the process; 0 = not bounded
}

// Timings holds the intervals and timeouts of the instance.
type Timings struct {
	Heartbeat     Duration `toml:"heartbeat"`      // interval, to a caller that waits for a streamed response
	AddressTTL    Duration `toml:"keep"`           // how long a caller may cache an address response
	BodyTimeout   Duration `toml:"body_timeout"`   // for a caller to send its whole request
	WriteTimeout  Duration `toml:"write_timeout"`  // for a caller to receive one piece of the response
	StopGrace     Duration `toml:"stop_grace"`     // longest wait for requests in flight when stopping; 0s = no limit
	PeerHeartbeat Duration `toml:"peer_heartbeat"` // interval between instances
	FenceAfter    Duration `toml:"fence_after"`    // accept no new work after this time without contact with either the store or a majority of the instances
	LeaseTTL      Duration `toml:"lease_ttl"`      // of the lease on giving orders to a service
	FileCheck     Duration `toml:"file_check"`     // interval at which token and certificate files are checked for changes
}

// Routing is the policy for choosing targets.
type Routing struct {
	RetryBudget float64 `toml:"retry_budget"` // retries, resumes and hedges as a share of first attempts
	MaxAttempts int     `toml:"max_attempts"` // per stage
	MaxEjected  float64 `toml:"max_ejected"`  // largest share of a service that may be ejected as stragglers
}

// Claims holds the settings of the at-most-once claims that are recorded in the platform.
type Claims struct {
	Shards          int      `toml:"shards"`
	WindowKB        int      `toml:"window_kb"`
	Flush           Duration `toml:"flush"`            // minimum average time between two writes of a shard
	Retention       Duration `toml:"retention"`        // of keys that contain a timestamp
	OpaqueRetention Duration `toml:"opaque_retention"` // of other keys
}

// Log formats.
const (
	FormatLogfmt = "logfmt"
	FormatJSON   = "json"
)

// Log holds the settings of the log.
type Log struct {
	Level  string `toml:"level"`  // debug, info, warn or error
	Format string `toml:"format"` // logfmt or json
}

// Debug enables diagnostics that an operator needs only occasionally.
type Debug struct {
	Pprof bool `toml:"pprof"` // CPU and memory profiles of the process on the admin listener, for operators
}

// Default returns the default settings.
func Default() Config {
	return Config{
		Platform: Platform{
			WritesPerSecond: int(storeclient.DefaultFleetBudget.WritesPerSecond),
			ReadsPerSecond:  int(storeclient.DefaultFleetBudget.ReadsPerSecond),
			Watches:         storeclient.DefaultFleetBudget.Watches,
		},
		Limits: Limits{MaxBodyKB: 1024, MaxAnswerKB: 4096, MaxInFlight: 4096, MaxQueued: 1024, MemoryMB: 1024, Descriptors: 4096},
		Timings: Timings{
			Heartbeat:     DurationOf(time.Second),
			AddressTTL:    DurationOf(5 * time.Second),
			BodyTimeout:   DurationOf(10 * time.Second),
			WriteTimeout:  DurationOf(10 * time.Second),
			StopGrace:     DurationOf(0),
			PeerHeartbeat: DurationOf(time.Second),
			FenceAfter:    DurationOf(12 * time.Second),
			LeaseTTL:      DurationOf(10 * time.Second),
			FileCheck:     DurationOf(2 * time.Second),
		},
		Routing: Routing{RetryBudget: 0.1, MaxAttempts: 3, MaxEjected: 0.3},
		Claims: Claims{
			Shards:          claim.DefaultShards,
			WindowKB:        claim.DefaultWindowBytes >> 10,
			Flush:           DurationOf(claim.DefaultFlushInterval),
			Retention:       DurationOf(claim.DefaultRetention),
			OpaqueRetention: DurationOf(claim.DefaultOpaqueRetention),
		},
		Ingress:  defaultIngress(),
		Overload: defaultOverload(),
		Log:      Log{Level: "info", Format: FormatLogfmt},
	}
}

// Duration is a duration that is written with a unit.
type Duration struct {
	time.Duration
	// unusable is the text of a value that is not a duration. The decoder names the key
	// of an invalid string but not that of a number, so Validate reports both.
	unusable string
}

// DurationOf returns d as a Duration.
func DurationOf(d time.Duration) Duration { return Duration{Duration: d} }

// UnmarshalText implements encoding.TextUnmarshaler. It never fails: Validate reports a
// value that is not a duration, with its key.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		*d = Duration{unusable: string(text)}
		return nil
	}
	*d = DurationOf(parsed)
	return nil
}

// Err returns an error if the text that d was parsed from is not a duration. Validate
// checks this for a Config; users of Duration in other files call it themselves.
func (d Duration) Err() error {
	if d.unusable == "" {
		return nil
	}
	return fmt.Errorf("%q is not a duration with a unit, such as \"250ms\"", d.unusable)
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }
