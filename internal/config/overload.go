package config

// Mode says when a part of the overload control is in force.
type Mode string

// The modes. Auto leaves it to the deployment: each key says what turns it on.
const (
	Auto Mode = "auto"
	On   Mode = "on"
	Off  Mode = "off"
)

func (m Mode) valid() bool { return m == Auto || m == On || m == Off }

// Enabled reports whether the part is in force, given what Auto depends on.
func (m Mode) Enabled(demanded bool) bool { return m == On || m == Auto && demanded }

// Overload holds the settings of what happens while requests compete for too little
// capacity. All instances should have the same.
type Overload struct {
	// SlotQueue: one instance for each plain service shares its slots among all
	// instances. Auto turns it on for services whose targets state their pace.
	SlotQueue Mode `toml:"slot_queue"`
	// Reservations: capacity is reserved for callers that are refused and told when to
	// come back. Auto turns it on if the platform announces scarce capacity, or targets
	// state their pace.
	Reservations Mode `toml:"reservations"`
	// Shares: scarce capacity is shared among organisations, priorities and sizes. Auto
	// turns it on like Reservations.
	Shares Mode `toml:"shares"`
	// TargetBodyBytes bounds the bodies of the requests that a target holds from all
	// instances together; 0 = not bounded.
	TargetBodyBytes int64 `toml:"target_body_bytes"`
}

func defaultOverload() Overload {
	return Overload{SlotQueue: Auto, Reservations: Auto, Shares: Auto}
}

func (o Overload) validate() error {
	for _, m := range []struct {
		key  string
		mode Mode
	}{
		{"overload.slot_queue", o.SlotQueue}, {"overload.reservations", o.Reservations}, {"overload.shares", o.Shares},
	} {
		if !m.mode.valid() {
			return settingError(m.key, "%q is none of auto, on, off", m.mode)
		}
	}
	if o.TargetBodyBytes < 0 {
		return settingError("overload.target_body_bytes", "%d is negative", o.TargetBodyBytes)
	}
	return nil
}
