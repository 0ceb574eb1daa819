package config

import (
	"math"
	"net/netip"
	"time"
)

// Ingress holds the settings for serving plain HTTP requests on a platform that
// declares routes and targets. An instance with a listen address here serves these
// instead of the caller and admin API.
type Ingress struct {
	Listen        string `toml:"listen"`    // for callers' requests; "" = the instance serves no plain requests
	Readiness     string `toml:"readiness"` // for the platform's readiness checks
	AddressListen string `toml:"addresses"` // for callers' address queries; "" = not served
	Control       string `toml:"control"`   // a second address for other instances, the one that peers.seeds name; "" = none
	Metrics       string `toml:"metrics"`   // for the metrics page; "" = not served

	AddressTTL      Duration `toml:"address_ttl"` // how long callers may cache an address
	Grace           Duration `toml:"grace"`       // longest time from the start of a stop to the end of the process
	OutOfTouchAfter Duration `toml:"touch"`       // time after which a cut-off instance counts as out of touch
	ApplyWithin     Duration `toml:"apply"`       // time within which a change of routes and targets has to be in force
	FailClosed      bool     `toml:"fail_closed"` // refuse all requests if keys were not confirmed for Revocation
	Revocation      Duration `toml:"revocation"`

	RetryRatio  float64  `toml:"retry_ratio"`  // retries allowed per request
	RetryWindow Duration `toml:"retry_window"` // period over which requests and retries are counted
	RetryExtra  float64  `toml:"retry_extra"`  // retries allowed in addition, of all instances together

	ReuseWindow Duration `toml:"reuse_window"` // how long prompt parts are worth keeping for reuse

	// Evacuations is set if the platform supports orders to evacuate availability zones.
	// Otherwise they are not watched.
	Evacuations bool `toml:"evacuations"`
	// FirstStart is set if the whole fleet starts for the first time, so that no caller has a
	// response of earlier instances.
	FirstStart bool `toml:"first_start"`
	// ColdOverage is the factor, 1 or more, by which the request rate of a target that
	// has just started may exceed its declared rate. Any further tolerance of the target
	// is held in reserve.
	ColdOverage float64 `toml:"cold_overage"`

	MemoryMB       int     `toml:"memory_mb"`       // of the process, MiB; 0 = not bounded
	Descriptors    int     `toml:"descriptors"`     // open files and sockets of the process; 0 = not bounded
	ProcessorShare float64 `toml:"processor_share"` // share of a core
	ProcessorCores float64 `toml:"processor_cores"`
}

// Enabled reports whether the instance serves plain requests.
func (i Ingress) Enabled() bool { return i.Listen != "" }

func defaultIngress() Ingress {
	return Ingress{
		AddressTTL:      DurationOf(2 * time.Second),
		Grace:           DurationOf(8 * time.Second),
		OutOfTouchAfter: DurationOf(3 * time.Second),
		ApplyWithin:     DurationOf(5 * time.Second),
		Revocation:      DurationOf(5 * time.Second),
		RetryRatio:      0.1,
		RetryWindow:     DurationOf(10 * time.Second),
		RetryExtra:      10,
		ReuseWindow:     DurationOf(10 * time.Second),
		ColdOverage:     1,
	}
}

// minApply is the smallest valid value of ingress.apply: that time is divided into
// the shares of the steps of a change, and the store needs one of them.
const minApply = time.Second

func (i Ingress) validate() error {
	if !i.Enabled() {
		return nil
	}
	for _, a := range []struct{ key, value string }{
		{"ingress.listen", i.Listen}, {"ingress.readiness", i.Readiness},
	} {
		if err := checkAddress(a.key, a.value, true); err != nil {
			return err
		}
	}
	if i.Metrics != "" {
		if err := checkAddress("ingress.metrics", i.Metrics, true); err != nil {
			return err
		}
	}
	if netip.MustParseAddrPort(i.Listen).Addr().IsUnspecified() {
		return settingError("ingress.listen", "%q is not an address to which callers can connect", i.Listen)
	}
	if i.ColdOverage < 1 {
		return settingError("ingress.cold_overage", "must be at least 1")
	}
	if i.RetryRatio < 0 || i.RetryExtra < 0 {
		return settingError("ingress.retry_ratio", "and retry_extra must not be negative")
	}
	return firstError(
		checkInt("ingress.memory_mb", i.MemoryMB, 0, math.MaxInt32),
		checkInt("ingress.descriptors", i.Descriptors, 0, math.MaxInt32),
		checkDuration("ingress.address_ttl", i.AddressTTL, minDuration),
		checkDuration("ingress.grace", i.Grace, minDuration),
		checkDuration("ingress.touch", i.OutOfTouchAfter, minDuration),
		checkDuration("ingress.apply", i.ApplyWithin, minApply),
		checkDuration("ingress.revocation", i.Revocation, minDuration),
		checkDuration("ingress.retry_window", i.RetryWindow, minDuration),
		checkDuration("ingress.reuse_window", i.ReuseWindow, minDuration),
	)
}
