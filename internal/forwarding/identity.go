package forwarding

import (
	"slices"
	"strings"
	"time"

	"lynxhill.example/lynxhill/internal/crashguard"
	"lynxhill.example/lynxhill/internal/errkind"
)

// identity identifies a request independently of its id, for the crash guard.
type identity struct {
	// exact is the fingerprint of host, URI, organisation and body.
	exact string
	// anyQuery leaves out the query, which callers vary; "" = the request has no query, or
	// nothing else that tells it from others. Requests with it in common may differ in
	// their query alone, so it takes crashes under several queries, and any answer clears
	// them.
	anyQuery string
}

// identity returns the request's identity.
func (fl *flight) identity() identity {
	if fl.cachedIdentity == nil {
		organisation := fl.organisation()
		id := identity{exact: crashguard.Fingerprint(fl.Request.Host+fl.Request.URI+"\x00"+organisation, fl.Request.Body)}
		if path, _, varies := strings.Cut(fl.Request.URI, "?"); varies && len(fl.Request.Body) > 0 {
			id.anyQuery = crashguard.Fingerprint(fl.Request.Host+path+"?\x00"+organisation, fl.Request.Body)
		}
		fl.cachedIdentity = &id
	}
	return *fl.cachedIdentity
}

// fingerprints returns the fingerprints under which the request is known, the exact one
// first.
func (id identity) fingerprints() []string {
	if id.anyQuery == "" {
		return []string{id.exact}
	}
	return []string{id.exact, id.anyQuery}
}

// admitted reports whether the crash guard lets the request run. Otherwise the request
// has been answered.
func (fl *flight) admitted() bool {
	admission := fl.o.CrashGuard.Admit(fl.guardKeys()...)
	if admission.Refused {
		fl.refuseAfterCrashes(admission.RetryAfter)
		return false
	}
	fl.trial = admission.Trial
	return true
}

// refuseAfterCrashes writes the response to a request that the crash guard refuses.
func (fl *flight) refuseAfterCrashes(retryAfter time.Duration) {
	fl.refuse(errkind.New(errkind.RefusedAfterCrashes, "targets crashed while running such requests"), retryAfter)
}

// refusedByGuard reports whether the crash guard refuses the request by now, also if it
// runs as a trial.
func (fl *flight) refusedByGuard() bool {
	return slices.ContainsFunc(fl.guardKeys(), fl.o.CrashGuard.Refused)
}

// suspectedAs returns the key under which targets crashed: a fingerprint of the request, or
// a part of its prompt under which several did; "" = none.
func (fl *flight) suspectedAs() string {
	for _, fingerprint := range fl.identity().fingerprints() {
		if fl.o.CrashGuard.Suspected(fingerprint) {
			return fingerprint
		}
	}
	for _, key := range fl.partKeys() {
		if fl.o.CrashGuard.StronglySuspected(key) {
			return key
		}
	}
	return ""
}

// guardKeys returns all keys under which the crash guard may know the request.
func (fl *flight) guardKeys() []string {
	return slices.Concat(fl.identity().fingerprints(), fl.partKeys(), fl.pieceKeys())
}

// partKeys returns the keys of the parts of the prompt, nil while the crash guard has no
// use for them.
func (fl *flight) partKeys() []string {
	if !fl.o.CrashGuard.MaySuspectParts() {
		return nil
	}
	if fl.cachedPartKeys == nil {
		for _, part := range fl.sharedParts() {
			fl.cachedPartKeys = append(fl.cachedPartKeys, crashguard.PartKeys(fl.service, fl.organisation(), part.ID)...)
		}
	}
	return fl.cachedPartKeys
}

// pieceKeys returns the key under which stage targets may have crashed that ran pieces of
// the request; nil while the crash guard has no use for it.
func (fl *flight) pieceKeys() []string {
	if fl.Request.PieceKey == "" || len(fl.Route.Stages) == 0 || !fl.o.CrashGuard.MaySuspect() {
		return nil
	}
	if fl.cachedPieceKey == "" {
		fl.cachedPieceKey = crashguard.PieceKey(fl.organisation(), fl.Request.PieceKey)
	}
	return []string{fl.cachedPieceKey}
}

// organisation returns the name of the caller's organisation; "" = none.
func (fl *flight) organisation() string {
	if fl.Organisation == nil {
		return ""
	}
	return fl.Organisation.Name
}

// recordSuccess records that the request was answered completely.
func (fl *flight) recordSuccess() {
	for _, fingerprint := range fl.identity().fingerprints() {
		fl.o.CrashGuard.RecordSuccess(fingerprint, fl.trial)
	}
}
