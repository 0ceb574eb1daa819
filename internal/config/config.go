// Package config holds the settings of an instance: the struct, its defaults,
// its rules, and the reader of its TOML form. docs/operators/settings.md
// describes every key.
package config

import (
	"fmt"
	"time"

	"lynxhill.example/lynxhill/internal/auth"
	"lynxhill.example/lynxhill/internal/claim"
	"lynxhill.example/lynxhill/internal/storeclient"
)

// Config is the settings of one instance. Every duration is a string with its
// unit, such as "250ms".
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
	Log      Log      `toml:"log"`
	Debug    Debug    `toml:"debug"`
}

// Instance says who and where the instance is.
type Instance struct {
	ID     string `toml:"id"`     // unique among instances; "" = place and caller address
	Place  string `toml:"place"`  // availability zone; required
	Region string `toml:"region"` // required
}

// Listen holds the addresses, each an IP number with a port. Port 0 lets the
// system choose one.
type Listen struct {
	Caller string `toml:"caller"`
	Admin  string `toml:"admin"`
	Peer   string `toml:"peer"`
	// Advertise addresses are what others are told, where they differ from
	// the ones listened on; "" = the same.
	AdvertiseCaller string `toml:"advertise_caller"`
	AdvertiseAdmin  string `toml:"advertise_admin"`
	AdvertisePeer   string `toml:"advertise_peer"`
}

// Platform says where the platform's object API and instance list are.
type Platform struct {
	Endpoints []string `toml:"endpoints"`  // http://IP:port or https://IP:port; any may answer
	TokenFile string   `toml:"token_file"` // file that holds the bearer token; "" = none
	CAFile    string   `toml:"ca_file"`    // for https; "" = the system's
	// What all instances together may ask of it; each takes a share.
	WritesPerSecond int `toml:"writes_per_second"`
	ReadsPerSecond  int `toml:"reads_per_second"`
	Watches         int `toml:"watches"` // of one instance, waiting at once
}

// TLS holds the files of each listener.
type TLS struct {
	Caller TLSFiles `toml:"caller"`
	Admin  TLSFiles `toml:"admin"`
	Peer   TLSFiles `toml:"peer"`
}

// TLSFiles are PEM files; they are read again when they change. Without
// CertFile and KeyFile the listener speaks plain HTTP. With ClientCAFile a
// client has to show a certificate of that CA.
type TLSFiles struct {
	CertFile     string `toml:"cert_file"`
	KeyFile      string `toml:"key_file"`
	ClientCAFile string `toml:"client_ca_file"`
}

// Enabled reports whether the listener speaks TLS.
func (f TLSFiles) Enabled() bool { return f.CertFile != "" }

// Tokens of callers and operators, as hashes. The entries of File are added to
// the ones that stand here; File is read again when it changes.
type Tokens struct {
	File     string               `toml:"file"`
	Caller   []auth.CallerToken   `toml:"caller"`
	Operator []auth.OperatorToken `toml:"operator"`
}

// Set returns the tokens that stand in the settings.
func (t Tokens) Set() auth.Tokens {
	return auth.Tokens{Caller: t.Caller, Operator: t.Operator}
}

// Peers holds addresses of other instances to start from.
type Peers struct {
	Seeds []string `toml:"seeds"` // IP:port of peer listeners, besides the platform's instance list
}

// Limits bound what one instance holds in memory and takes on.
type Limits struct {
	MaxBodyKB   int `toml:"max_body_kb"`   // body of a request
	MaxAnswerKB int `toml:"max_answer_kb"` // whole answer
	MaxInFlight int `toml:"max_in_flight"` // requests at once
	MaxQueued   int `toml:"max_queued"`    // of them, waiting for a target
}

// Timings are the intervals and patience of the instance.
type Timings struct {
	Heartbeat     Duration `toml:"heartbeat"`      // to a caller that waits for a streamed answer
	Keep          Duration `toml:"keep"`           // how long a caller may keep an address answer
	BodyTimeout   Duration `toml:"body_timeout"`   // for a caller to send its whole request
	WriteTimeout  Duration `toml:"write_timeout"`  // for a caller to take one piece of the answer
	StopGrace     Duration `toml:"stop_grace"`     // wait for requests in flight when stopping; 0s = as long as they take
	PeerHeartbeat Duration `toml:"peer_heartbeat"` // between instances
	FenceAfter    Duration `toml:"fence_after"`    // cut off from store and majority for this long: take no new work
	LeaseTTL      Duration `toml:"lease_ttl"`      // of the order-giver of a service
	FileCheck     Duration `toml:"file_check"`     // how often token and certificate files are looked at
}

// Routing is the policy for choosing targets.
type Routing struct {
	RetryBudget float64 `toml:"retry_budget"` // repeats, resumes and hedges as a share of first attempts
	MaxAttempts int     `toml:"max_attempts"` // per stage
	MaxEjected  float64 `toml:"max_ejected"`  // largest share of a service that may be ejected as stragglers
}

// Claims is how at-most-once claims are recorded in the platform.
type Claims struct {
	Shards          int      `toml:"shards"`
	WindowKB        int      `toml:"window_kb"`
	Flush           Duration `toml:"flush"`            // least time between two writes of a shard, on average
	Retention       Duration `toml:"retention"`        // of keys that carry their time
	OpaqueRetention Duration `toml:"opaque_retention"` // of other keys
}

// Log formats.
const (
	FormatLogfmt = "logfmt"
	FormatJSON   = "json"
)

// Log says what is logged.
type Log struct {
	Level  string `toml:"level"`  // debug, info, warn or error
	Format string `toml:"format"` // logfmt or json
}

// Debug switches on what an operator needs only now and then.
type Debug struct {
	Pprof bool `toml:"pprof"` // profiles of the process on the admin listener, for operators
}

// Default returns the settings that hold where the file says nothing.
func Default() Config {
	return Config{
		Platform: Platform{
			WritesPerSecond: int(storeclient.DefaultFleetBudget.WritesPerSecond),
			ReadsPerSecond:  int(storeclient.DefaultFleetBudget.ReadsPerSecond),
			Watches:         storeclient.DefaultFleetBudget.Watches,
		},
		Limits: Limits{MaxBodyKB: 1024, MaxAnswerKB: 4096, MaxInFlight: 4096, MaxQueued: 1024},
		Timings: Timings{
			Heartbeat:     Of(time.Second),
			Keep:          Of(5 * time.Second),
			BodyTimeout:   Of(10 * time.Second),
			WriteTimeout:  Of(10 * time.Second),
			StopGrace:     Of(0),
			PeerHeartbeat: Of(time.Second),
			FenceAfter:    Of(12 * time.Second),
			LeaseTTL:      Of(10 * time.Second),
			FileCheck:     Of(2 * time.Second),
		},
		Routing: Routing{RetryBudget: 0.1, MaxAttempts: 3, MaxEjected: 0.3},
		Claims: Claims{
			Shards:          claim.DefaultShards,
			WindowKB:        claim.DefaultWindowBytes >> 10,
			Flush:           Of(claim.DefaultFlushInterval),
			Retention:       Of(claim.DefaultRetention),
			OpaqueRetention: Of(claim.DefaultOpaqueRetention),
		},
		Ingress: defaultIngress(),
		Log:     Log{Level: "info", Format: FormatLogfmt},
	}
}

// Duration is a duration that is written with its unit.
type Duration struct {
	time.Duration
	// unusable is the text of a value that is none. The decoder names the key
	// of a bad string, but not of a bare number, so Validate reports both.
	unusable string
}

// Of returns d as a Duration.
func Of(d time.Duration) Duration { return Duration{Duration: d} }

// UnmarshalText implements encoding.TextUnmarshaler. It never fails: Validate
// refuses what is no duration, with the key.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		*d = Duration{unusable: string(text)}
		return nil
	}
	*d = Of(parsed)
	return nil
}

// Err returns an error if the text that d was read from is no duration. Files
// that are not a Config ask this by themselves.
func (d Duration) Err() error {
	if d.unusable == "" {
		return nil
	}
	return fmt.Errorf("%q is not a duration with its unit, such as \"250ms\"", d.unusable)
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }
