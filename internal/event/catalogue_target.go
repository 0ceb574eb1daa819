package event

// Events of the calls to targets.
const (
	TargetForeignFrame ID = 2301
)

var _ = define(
	Definition{TargetForeignFrame, Error, "target_foreign_frame", "A target sent a frame or reply of another attempt. It was dropped and the connection is not reused. Check the target and any proxy between it and the instance."},
)
