package event

// Events of package targetpath.
const (
	TargetPathLost     ID = 4270
	TargetPathRestored ID = 4271
	TargetsLost        ID = 4272
	TargetsRestored    ID = 4273
)

var _ = define(
	Definition{TargetPathLost, Info, "target_path_lost", "Another instance connected to a target when this one did not within waited_ms; connections to it lead through other instances until direct ones succeed again. err is the error of the direct dial, empty if it was pending."},
	Definition{TargetPathRestored, Info, "target_path_restored", "Direct connections to the target succeed again."},
	Definition{TargetsLost, Warn, "targets_lost", "This instance has lost its way to all targets: reached_by_relay of them were reached through another instance only, unreached by none, and nothing was received from any for heard_ms. All connections to targets lead through other instances."},
	Definition{TargetsRestored, Warn, "targets_restored", "This instance connects to targets directly again."},
)
