package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"
)

// Paths of the control endpoint of Standins.
const (
	// PathEvidence answers a GET with an Evidence; each parameter "service"
	// names a service whose calls may not be repeated.
	PathEvidence = "/evidence"
	// PathFaults takes a POST with a Fault, which begins at once.
	PathFaults = "/faults"
	// PathCounts answers a GET with the counts of the platform's calls.
	PathCounts = "/counts"
)

// controlTimeout bounds the head of a call to the control endpoint.
const controlTimeout = 5 * time.Second

// faultInstanceCut cuts an instance off from callers, from the platform, and
// from what its peers send it; what it sends to peers and targets gets there.
const faultInstanceCut = "instance_cut"

func (s *Standins) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathEvidence, s.serveEvidence)
	mux.HandleFunc("POST "+PathFaults, s.serveFault)
	mux.HandleFunc("GET "+PathCounts, func(w http.ResponseWriter, _ *http.Request) {
		writeControl(w, s.cluster.Fleet.Platform.Counts())
	})
	return mux
}

func (s *Standins) serveEvidence(w http.ResponseWriter, r *http.Request) {
	writeControl(w, Evidence{
		Runs:            s.cluster.Fleet.Runs(),
		Doubled:         s.cluster.Fleet.DoubledRuns(r.URL.Query()["service"]...),
		CrossedPrevious: s.cluster.Fleet.CrossedPrevious(),
	})
}

func writeControl(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Standins) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.Fault(fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeControl(w, fault)
}

// Fault begins a fault of the platform, of targets, or faultInstanceCut, and
// ends it after its time.
func (s *Standins) Fault(fault Fault) error {
	if err := fault.For.Err(); err != nil {
		return fmt.Errorf("for: %w", err)
	}
	end, err := s.beginFault(fault)
	if err != nil {
		return err
	}
	if fault.For.Duration > 0 {
		time.AfterFunc(fault.For.Duration, func() {
			end()
			logControl("%s ended", fault.Kind)
		})
	}
	logControl("%s %s began", fault.Kind, fault.Subject)
	return nil
}

func (s *Standins) beginFault(fault Fault) (end func(), err error) {
	if fault.Kind == faultInstanceCut {
		return s.cutInstance(fault.Subject)
	}
	kind, ok := faultKinds[fault.Kind]
	if !ok || !ofStandins(fault.Kind) {
		return nil, fmt.Errorf("the stand-ins have no fault %q", fault.Kind)
	}
	run := &faultRun{Fault: fault, cluster: s.cluster, rng: rand.New(rand.NewPCG(s.opts.Seed, 1)), note: logControl}
	return kind.begin(context.Background(), run)
}

// ofStandins reports whether a fault is one of the platform or of targets.
func ofStandins(kind string) bool {
	return strings.HasPrefix(kind, "store_") || strings.HasPrefix(kind, "target_") || kind == "lost_reply" || kind == "poison"
}

func (s *Standins) cutInstance(id string) (end func(), err error) {
	if len(s.relays) == 0 {
		return nil, fmt.Errorf("%s needs relays", faultInstanceCut)
	}
	for _, i := range s.Layout.Instances {
		if i.ID == id {
			s.cluster.Network.Freeze(relayOwner(id))
			return func() { s.cluster.Network.Thaw(relayOwner(id)) }, nil
		}
	}
	return nil, fmt.Errorf("no instance %q", id)
}

func logControl(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "%s %s\n", time.Now().UTC().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}
