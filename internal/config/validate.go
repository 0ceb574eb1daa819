package config

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"time"
)

// Limits of the settings.
const (
	maxKB       = 1 << 20
	maxCount    = 1 << 20
	maxShards   = 4096
	maxWindowKB = 900 // the platform stores values of up to one megabyte
	minDuration = time.Millisecond
	maxDuration = 30 * 24 * time.Hour
)

// Validate checks the settings. The error names the key.
func (c *Config) Validate() error {
	checks := []func() error{
		c.Instance.validate, c.Ingress.validate, c.Overload.validate, c.validateListen, c.Platform.validate, c.TLS.validate, c.Tokens.validate,
		c.Peers.validate, c.Limits.validate, c.Timings.validate, c.Routing.validate, c.Claims.validate, c.Log.validate,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return c.validateID()
}

// validateID requires an id where none can be derived from the address: with port 0 all
// instances on a host would get the same id, and each would take the others' heartbeats
// for its own.
func (c *Config) validateID() error {
	if c.Ingress.Enabled() {
		if c.Instance.ID == "" {
			return settingError("instance.id", "is missing; an instance that serves plain requests needs an id")
		}
		return nil
	}
	port := netip.MustParseAddrPort(c.Listen.callerAddress()).Port()
	if c.Instance.ID == "" && port == 0 {
		return settingError("instance.id", "is missing; with port 0 in listen.caller the instance needs an explicit id")
	}
	return nil
}

func settingError(key, format string, args ...any) error {
	return fmt.Errorf("%s: %s", key, fmt.Sprintf(format, args...))
}

func (i Instance) validate() error {
	if i.Zone == "" {
		return settingError("instance.place", "is missing; name the availability zone of this instance")
	}
	if i.Region == "" {
		return settingError("instance.region", "is missing; name the region of this instance")
	}
	return nil
}

// validateListen checks the listen addresses. An instance that serves plain requests
// uses those of [ingress] instead of the caller and admin API.
func (c *Config) validateListen() error {
	if c.Ingress.Enabled() {
		return checkAddress("listen.peer", c.Listen.Peer, true)
	}
	return c.Listen.validate()
}

func (l Listen) validate() error {
	required := []struct{ key, value string }{
		{"listen.caller", l.Caller}, {"listen.admin", l.Admin}, {"listen.peer", l.Peer},
	}
	for _, a := range required {
		if err := checkAddress(a.key, a.value, true); err != nil {
			return err
		}
	}
	advertised := []struct{ key, value, listen string }{
		{"listen.advertise_caller", l.AdvertiseCaller, l.Caller},
		{"listen.advertise_admin", l.AdvertiseAdmin, l.Admin},
		{"listen.advertise_peer", l.AdvertisePeer, l.Peer},
	}
	for _, a := range advertised {
		if err := checkAdvertised(a.key, a.value, a.listen); err != nil {
			return err
		}
	}
	return nil
}

// checkAdvertised rejects an address to which others cannot connect. Otherwise the
// mistake would show only as failed requests from other instances.
func checkAdvertised(key, value, listen string) error {
	if value == "" {
		if netip.MustParseAddrPort(listen).Addr().IsUnspecified() {
			return settingError(key, "is missing; %s listens on every address, so give the one that others connect to", listen)
		}
		return nil
	}
	if err := checkAddress(key, value, false); err != nil {
		return err
	}
	if netip.MustParseAddrPort(value).Addr().IsUnspecified() {
		return settingError(key, "%q is not an address to which others can connect", value)
	}
	return nil
}

func checkAddress(key, value string, zeroPort bool) error {
	if value == "" {
		return settingError(key, "is missing; give an IP address with a port")
	}
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		return settingError(key, "%q is not an IP address with a port, such as 10.0.0.1:7000", value)
	}
	if addr.Port() == 0 && !zeroPort {
		return settingError(key, "%q has port 0", value)
	}
	return nil
}

func (p Platform) validate() error {
	if len(p.Endpoints) == 0 {
		return settingError("platform.endpoints", "is missing; give at least one address of the platform")
	}
	for i, endpoint := range p.Endpoints {
		if err := checkEndpoint(fmt.Sprintf("platform.endpoints[%d]", i), endpoint); err != nil {
			return err
		}
	}
	return firstError(
		checkInt("platform.writes_per_second", p.WritesPerSecond, 1, maxCount),
		checkInt("platform.reads_per_second", p.ReadsPerSecond, 1, maxCount),
		checkInt("platform.watches", p.Watches, 1, maxCount),
	)
}

func checkEndpoint(key, value string) error {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return settingError(key, "%q is not of the form http://IP:port or https://IP:port", value)
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" || (u.Path != "" && u.Path != "/") {
		return settingError(key, "must consist of scheme, IP address and port only")
	}
	return checkAddress(key, u.Host, false)
}

func (t TLS) validate() error {
	for _, l := range t.listeners() {
		if err := l.files.validate(l.key); err != nil {
			return err
		}
	}
	if t.Peer.Enabled() && t.Peer.ClientCAFile == "" {
		return settingError("tls.peer.client_ca_file", "is missing; instances authenticate to each other with certificates of this CA")
	}
	return nil
}

type listenerFiles struct {
	key   string
	files TLSFiles
}

func (t TLS) listeners() []listenerFiles {
	return []listenerFiles{{"tls.caller", t.Caller}, {"tls.admin", t.Admin}, {"tls.peer", t.Peer}}
}

func (f TLSFiles) validate(key string) error {
	switch {
	case f.CertFile != "" && f.KeyFile == "":
		return settingError(key+".key_file", "is missing, but cert_file is given")
	case f.CertFile == "" && f.KeyFile != "":
		return settingError(key+".cert_file", "is missing, but key_file is given")
	case f.CertFile == "" && f.ClientCAFile != "":
		return settingError(key+".cert_file", "is missing, but client_ca_file is given")
	}
	return nil
}

func (t Tokens) validate() error {
	if err := t.Set().Validate(); err != nil {
		return fmt.Errorf("tokens.%w", err)
	}
	return nil
}

func (p Peers) validate() error {
	for i, seed := range p.Seeds {
		if err := checkAddress(fmt.Sprintf("peers.seeds[%d]", i), seed, false); err != nil {
			return err
		}
	}
	return nil
}

func (l Limits) validate() error {
	return firstError(
		checkInt("limits.max_body_kb", l.MaxBodyKB, 1, maxKB),
		checkInt("limits.max_answer_kb", l.MaxAnswerKB, 1, maxKB),
		checkInt("limits.max_in_flight", l.MaxInFlight, 1, maxCount),
		checkInt("limits.max_queued", l.MaxQueued, 0, maxCount),
		checkInt("limits.memory_mb", l.MemoryMB, 0, math.MaxInt32),
		checkInt("limits.descriptors", l.Descriptors, 0, math.MaxInt32),
	)
}

func (t Timings) validate() error {
	return firstError(
		checkDuration("timings.heartbeat", t.Heartbeat, minDuration),
		checkDuration("timings.keep", t.AddressTTL, minDuration),
		checkDuration("timings.body_timeout", t.BodyTimeout, minDuration),
		checkDuration("timings.write_timeout", t.WriteTimeout, minDuration),
		checkDuration("timings.stop_grace", t.StopGrace, 0),
		checkDuration("timings.peer_heartbeat", t.PeerHeartbeat, minDuration),
		checkDuration("timings.fence_after", t.FenceAfter, t.PeerHeartbeat.Duration),
		checkDuration("timings.lease_ttl", t.LeaseTTL, time.Second),
		checkDuration("timings.file_check", t.FileCheck, minDuration),
	)
}

func (r Routing) validate() error {
	return firstError(
		checkShare("routing.retry_budget", r.RetryBudget),
		checkInt("routing.max_attempts", r.MaxAttempts, 1, 100),
		checkShare("routing.max_ejected", r.MaxEjected),
	)
}

func (c Claims) validate() error {
	return firstError(
		checkInt("claims.shards", c.Shards, 1, maxShards),
		checkInt("claims.window_kb", c.WindowKB, 1, maxWindowKB),
		checkDuration("claims.flush", c.Flush, 0),
		checkDuration("claims.retention", c.Retention, time.Second),
		checkDuration("claims.opaque_retention", c.OpaqueRetention, c.Retention.Duration),
	)
}

func (l Log) validate() error {
	switch l.Level {
	case "debug", "info", "warn", "error":
	default:
		return settingError("log.level", "%q is none of debug, info, warn, error", l.Level)
	}
	if l.Format != FormatLogfmt && l.Format != FormatJSON {
		return settingError("log.format", "%q is none of %s, %s", l.Format, FormatLogfmt, FormatJSON)
	}
	return nil
}

func firstError(faults ...error) error {
	for _, err := range faults {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkInt(key string, value, least, most int) error {
	if value < least || value > most {
		return settingError(key, "%d is not between %d and %d", value, least, most)
	}
	return nil
}

func checkDuration(key string, value Duration, least time.Duration) error {
	if err := value.Err(); err != nil {
		return settingError(key, "%v", err)
	}
	if value.Duration < least || value.Duration > maxDuration {
		return settingError(key, "%s is not between %s and %s", value, least, maxDuration)
	}
	return nil
}

func checkShare(key string, value float64) error {
	if !(value >= 0 && value <= 1) { // also refuses NaN
		return settingError(key, "%g is not between 0 and 1", value)
	}
	return nil
}
