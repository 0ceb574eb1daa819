package main

import (
	"context"
	"fmt"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
)

// Bounds of the pauses between changes of software versions.
const (
	minVersionPause = time.Second
	maxVersionPause = 4 * time.Second
	versionInterval = 400 * time.Millisecond // from a server's start until the one it replaces drains
)

// changeVersions upgrades servers to a new software version one by one, some of a service or
// all, and rolls some of that back, at times with the next change under way.
func (h *hurter) changeVersions(ctx context.Context) {
	for n := 2; pause(ctx, minVersionPause+time.Duration(h.versions.Int64N(int64(maxVersionPause-minVersionPause)))); n++ {
		service, to := []string{"talk", "talk", "plain"}[h.versions.IntN(3)], fmt.Sprint("v1.", n)
		kind, share := "version-upgrade", 0.3+0.7*h.versions.Float64()
		if h.versions.IntN(3) == 0 {
			kind, to = "version-rollback", "v1"
		}
		h.note(kind, fmt.Sprintf("%s to %s, %.2f of the servers", service, to, share))
		h.working.Go(func() { h.replaceVersion(ctx, service, to, share) })
	}
}

// replaceVersion replaces a share of the servers of a service that have another version.
func (h *hurter) replaceVersion(ctx context.Context, service, to string, share float64) {
	var old []*emulator.Server
	for _, s := range h.world.Servers(service) {
		if s.Version != to {
			old = append(old, s)
		}
	}
	for _, s := range old[:int(share*float64(len(old)))] {
		h.must(h.world.AddVersion(s.Service, s.Zone, "", to))
		pause(ctx, versionInterval)
		_ = h.world.Drain(s.ID) // it may have been ended meanwhile
	}
}
