package forwarding

import (
	"strings"

	"lynxhill.example/lynxhill/internal/crashguard"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/fleet"
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
		organisation := ""
		if fl.Organisation != nil {
			organisation = fl.Organisation.Name
		}
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
	admission := fl.o.CrashGuard.Admit(fl.identity().fingerprints()...)
	if admission.Refused {
		fl.refuseAfterCrashes(admission)
		return false
	}
	fl.trial = admission.Trial
	return true
}

// refuseAfterCrashes writes the response to a request that the crash guard refuses.
func (fl *flight) refuseAfterCrashes(a crashguard.Admission) {
	fl.refuse(errkind.New(errkind.RefusedAfterCrashes, "targets crashed while running such requests"), a.RetryAfter)
}

// refusedByGuard reports whether the crash guard refuses the request by now, also if it
// runs as a trial.
func (fl *flight) refusedByGuard() bool {
	for _, fingerprint := range fl.identity().fingerprints() {
		if fl.o.CrashGuard.Refused(fingerprint) {
			return true
		}
	}
	return false
}

// suspectedAs returns the fingerprint under which targets crashed; "" = none.
func (fl *flight) suspectedAs() string {
	for _, fingerprint := range fl.identity().fingerprints() {
		if fl.o.CrashGuard.Suspected(fingerprint) {
			return fingerprint
		}
	}
	return ""
}

// recordCrash counts a target that crashed while it ran the request.
func (id identity) recordCrash(g *crashguard.Guard, target fleet.Target) {
	g.RecordCrash(id.exact, target.ID)
	if id.anyQuery != "" {
		g.RecordVariantCrash(id.anyQuery, id.exact, target.ID)
	}
}

// recordSuccess records that the request was answered completely.
func (fl *flight) recordSuccess() {
	for _, fingerprint := range fl.identity().fingerprints() {
		fl.o.CrashGuard.RecordSuccess(fingerprint, fl.trial)
	}
}
