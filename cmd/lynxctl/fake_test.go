package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// fakeAdmin is an admin server that keeps one profile.
type fakeAdmin struct {
	t      *testing.T
	server *httptest.Server

	mu       sync.Mutex // guards the fields below
	view     lynxapi.ProfileView
	requests []string // method and path
	change   lynxapi.ChangeRequest
	state    string       // of the reply to a change
	failWith errkind.Kind // for changes; Internal = none
	cut      bool         // break the connection of a change
	planned  []lynxapi.ModelPlan
	settled  string // state of the change when asked; "" = not found
}

func newFakeAdmin(t *testing.T) *fakeAdmin {
	t.Helper()
	f := &fakeAdmin{t: t, state: lynxapi.ChangeAccepted}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/profiles/{name}", f.get)
	mux.HandleFunc("GET /v1/profiles", f.list)
	mux.HandleFunc("PUT /v1/profiles/{name}", f.set)
	mux.HandleFunc("POST /v1/profiles/{name}/rollback", f.rollback)
	mux.HandleFunc("DELETE /v1/profiles/{name}", f.delete)
	mux.HandleFunc("GET /v1/changes/{id}", f.tellChange)
	mux.HandleFunc("GET /v1/report/burn", f.burn)
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, lynxapi.InstanceList{Instances: []lynxapi.InstanceView{{ID: "lh-1", State: "alive", Zone: "lac-a"}}})
	})
	mux.HandleFunc("GET /v1/targets", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, lynxapi.TargetList{Targets: []lynxapi.TargetView{{ID: "t-1", Service: "encoders"}, {ID: "t-2", Service: "lynx-pool"}}})
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, lynxapi.Status{Instance: "lh-1", Ready: true, Alive: 3, Members: 3})
	})
	mux.HandleFunc("/v1/drains", f.drains)
	mux.HandleFunc("/v1/limits", f.limits)
	mux.HandleFunc("/v1/placements", f.plans)
	f.server = httptest.NewServer(f.record(mux))
	t.Cleanup(f.server.Close)
	return f
}

func (f *fakeAdmin) record(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer secret" {
			refuse(w, errkind.Unauthenticated)
			return
		}
		f.mu.Lock()
		f.requests = append(f.requests, r.Method+" "+r.URL.RequestURI())
		f.mu.Unlock()
		next.ServeHTTP(w, r)
	})
}

func reply(w http.ResponseWriter, message any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(message)
}

func refuse(w http.ResponseWriter, kind errkind.Kind) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(kind.Answer().Status)
	_ = json.NewEncoder(w).Encode(errkind.BodyOf(errkind.New(kind, "said no"), ""))
}

func (f *fakeAdmin) get(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view.Name != r.PathValue("name") {
		refuse(w, errkind.NotFound)
		return
	}
	reply(w, f.view)
}

func (f *fakeAdmin) list(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	reply(w, lynxapi.ProfileList{Profiles: []lynxapi.ProfileView{f.view}})
}

func (f *fakeAdmin) set(w http.ResponseWriter, r *http.Request) {
	var req lynxapi.ChangeRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		f.t.Errorf("change: %v", err)
	}
	f.mu.Lock()
	f.change = req
	f.mu.Unlock()
	f.changed(w, r)
}

func (f *fakeAdmin) rollback(w http.ResponseWriter, r *http.Request) {
	var req lynxapi.RollbackRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		f.t.Errorf("rollback: %v", err)
	}
	f.mu.Lock()
	if req.IfVersion != f.view.Version {
		f.mu.Unlock()
		refuse(w, errkind.Conflict)
		return
	}
	f.change = lynxapi.ChangeRequest{IfVersion: req.IfVersion, ChangeID: req.ChangeID, DryRun: req.DryRun, WaitMS: req.WaitMS}
	f.mu.Unlock()
	f.changed(w, r)
}

func (f *fakeAdmin) delete(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.change = lynxapi.ChangeRequest{ChangeID: r.URL.Query().Get("change_id")}
	f.mu.Unlock()
	f.changed(w, r)
}

func (f *fakeAdmin) changed(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut {
		panic(http.ErrAbortHandler)
	}
	if f.failWith != errkind.Internal {
		refuse(w, f.failWith)
		return
	}
	state := f.state
	if f.change.DryRun {
		state = lynxapi.ChangeDryRun
	}
	reply(w, lynxapi.ChangeReply{ChangeID: f.change.ChangeID, State: state, Name: r.PathValue("name"), Version: 13,
		Diff:  []profile.DiffLine{{Path: "priority", Old: "5", New: "7"}},
		Force: lynxapi.InForceReply{Total: 3, InForce: 2, Missing: []string{"lh-2"}}})
}

func (f *fakeAdmin) tellChange(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.settled == "" {
		refuse(w, errkind.NotFound)
		return
	}
	reply(w, lynxapi.ChangeReply{ChangeID: r.PathValue("id"), State: f.settled, Name: "creative-check", Version: 13})
}

func (f *fakeAdmin) drains(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		reply(w, lynxapi.DrainList{Drains: []lynxapi.DrainView{{Subject: "place/lac-a", By: "amal", At: time.Unix(0, 0).UTC()}}})
		return
	}
	var req lynxapi.DrainRequest
	_ = json.NewDecoder(r.Body).Decode(&req)
	if r.Method == http.MethodPost && req.Subject != "place/lac-a" && !req.Force {
		refuse(w, errkind.NotFound)
		return
	}
	reply(w, lynxapi.DrainView{Subject: req.Subject})
}

func (f *fakeAdmin) limits(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		reply(w, lynxapi.LimitList{Limits: []lynxapi.OrganisationLimit{{Organisation: "agency-1", RatePerSecond: 5, Concurrent: 9, IfVersion: 4}}})
		return
	}
	var limit lynxapi.OrganisationLimit
	_ = json.NewDecoder(r.Body).Decode(&limit)
	if limit.IfVersion != 4 {
		refuse(w, errkind.Conflict)
		return
	}
	reply(w, limit)
}

func (f *fakeAdmin) plans(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Method == http.MethodGet {
		reply(w, lynxapi.PlacementList{Plans: f.planned})
		return
	}
	var plan lynxapi.ModelPlan
	_ = json.NewDecoder(r.Body).Decode(&plan)
	f.planned = []lynxapi.ModelPlan{plan}
	reply(w, plan)
}

func (f *fakeAdmin) burn(w http.ResponseWriter, r *http.Request) {
	report := sampleReport()
	if window, err := time.ParseDuration(r.URL.Query().Get(lynxapi.ParamWindow)); err == nil {
		report.WindowS = window.Seconds()
	}
	reply(w, report)
}

func sampleReport() lynxapi.BurnReport {
	return lynxapi.BurnReport{Instance: "lh-1", Instances: 3, At: time.Unix(1e9, 0).UTC(), WindowS: 3600, ShortS: 300, LongS: 3600,
		Rows: []lynxapi.BurnRow{{Scope: "profile", Name: "creative-check", Total: 100, Attained: 98, Attainment: 0.98, Objective: 0.99, BudgetLeft: -1}}}
}

// inForce puts the example in force at a version, with a lower priority.
func (f *fakeAdmin) inForce(version uint64) {
	text, err := os.ReadFile(exampleFile)
	if err != nil {
		f.t.Fatal(err)
	}
	p, err := profile.Parse(text)
	if err != nil {
		f.t.Fatal(err)
	}
	p.Priority = 5
	f.view = lynxapi.ProfileView{Name: p.Name, Version: version, ChangeID: "c-1", Profile: p}
}

func (f *fakeAdmin) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}

// result is what a command line did.
type result struct {
	status int
	out    string
	err    string
}

// lynxctl runs a command line against the server.
func lynxctl(t *testing.T, server, stdin string, args ...string) result {
	t.Helper()
	var out, errOut bytes.Buffer
	args = append([]string{"--server", server, "--token", "secret"}, args...)
	status := run(args, strings.NewReader(stdin), &out, &errOut)
	return result{status: status, out: out.String(), err: errOut.String()}
}

func (r result) want(t *testing.T, status int, texts ...string) {
	t.Helper()
	if r.status != status {
		t.Fatalf("status %d, want %d\nout: %s\nerr: %s", r.status, status, r.out, r.err)
	}
	for _, text := range texts {
		if !strings.Contains(r.out+r.err, text) {
			t.Fatalf("no %q in\nout: %s\nerr: %s", text, r.out, r.err)
		}
	}
}
