package adminapi

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"lynxhill.example/lynxhill/internal/auth"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// fakeOperations records the changes it is called for. Methods that it does not
// implement panic.
type fakeOperations struct {
	Operations
	changes []string
	state   string
	window  time.Duration
	err     error
}

func (f *fakeOperations) record(parts ...string) {
	f.changes = append(f.changes, strings.Join(parts, " "))
}

func (f *fakeOperations) Burn(_ context.Context, window time.Duration) (lynxapi.BurnReport, error) {
	f.window = window
	return lynxapi.BurnReport{}, nil
}

func (f *fakeOperations) BurnLocal(ctx context.Context, window time.Duration) (lynxapi.BurnReport, error) {
	return f.Burn(ctx, window)
}

func (f *fakeOperations) Status(context.Context) (lynxapi.Status, error) {
	return lynxapi.Status{Instance: "i1"}, f.err
}

func (f *fakeOperations) Profile(_ context.Context, name string) (lynxapi.ProfileView, error) {
	return lynxapi.ProfileView{Name: name}, f.err
}

func (f *fakeOperations) Change(_ context.Context, id string) (lynxapi.ChangeReply, error) {
	return lynxapi.ChangeReply{ChangeID: id, State: lynxapi.ChangeUnknown}, f.err
}

func (f *fakeOperations) SetProfile(_ context.Context, operator, name string, req lynxapi.ChangeRequest) (lynxapi.ChangeReply, error) {
	f.record("set", operator, name, req.ChangeID)
	return lynxapi.ChangeReply{State: f.state}, f.err
}

func (f *fakeOperations) DeleteProfile(_ context.Context, operator, name string, ifVersion uint64, changeID string) (lynxapi.ChangeReply, error) {
	f.record("delete", operator, name, changeID)
	return lynxapi.ChangeReply{Version: ifVersion}, f.err
}

func (f *fakeOperations) Rollback(_ context.Context, operator, name string, req lynxapi.RollbackRequest) (lynxapi.ChangeReply, error) {
	f.record("rollback", operator, name, req.ChangeID)
	return lynxapi.ChangeReply{}, f.err
}

func (f *fakeOperations) Drain(_ context.Context, operator string, req lynxapi.DrainRequest) (lynxapi.DrainView, error) {
	f.record("drain", operator, req.Subject)
	return lynxapi.DrainView{Subject: req.Subject}, f.err
}

func (f *fakeOperations) Undrain(_ context.Context, operator, subject string) error {
	f.record("undrain", operator, subject)
	return f.err
}

func (f *fakeOperations) SetLimit(_ context.Context, operator string, limit lynxapi.OrganisationLimit) (lynxapi.OrganisationLimit, error) {
	f.record("limit", operator, limit.Organisation)
	return limit, f.err
}

func (f *fakeOperations) SetPlan(_ context.Context, operator string, plan lynxapi.ModelPlan) (lynxapi.ModelPlan, error) {
	f.record("plan", operator, plan.Service)
	return plan, f.err
}

func (f *fakeOperations) Ready() error { return f.err }

// admin is the HTTP handler under test with a token for each role.
type admin struct {
	t                *testing.T
	operations       *fakeOperations
	handler          http.Handler
	viewer, operator string
	logOutput        bytes.Buffer
}

func newAdmin(t *testing.T, pprof bool) *admin {
	t.Helper()
	a := &admin{t: t, operations: &fakeOperations{state: lynxapi.ChangeAccepted}}
	var viewerHash, operatorHash string
	a.viewer, viewerHash = auth.NewToken()
	a.operator, operatorHash = auth.NewToken()
	verifier, err := auth.New(auth.Options{Tokens: auth.Tokens{Operator: []auth.OperatorToken{
		{Hash: viewerHash, Name: "vera", Role: auth.RoleViewer},
		{Hash: operatorHash, Name: "omar", Role: auth.RoleOperator},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	a.handler, err = New(Options{Operations: a.operations, Auth: verifier, Pprof: pprof,
		Logger: event.NewLogger(log.NewLogfmtLogger(&a.logOutput)), Metrics: metrics.NewRegistry()})
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func (a *admin) call(token, method, path, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	recorder := httptest.NewRecorder()
	a.handler.ServeHTTP(recorder, req)
	return recorder
}

func kindOf(t *testing.T, answer *httptest.ResponseRecorder) string {
	t.Helper()
	var body errkind.Body
	if err := json.Unmarshal(answer.Body.Bytes(), &body); err != nil {
		t.Fatalf("%d %s: %v", answer.Code, answer.Body, err)
	}
	return body.Kind
}

// Guards against access without permission through a route that was added
// without its authorisation check. The paths are taken from the list of routes,
// so that new routes are covered.
func TestEveryPathChecksTheTokenAndTheRole(t *testing.T) {
	a := newAdmin(t, true)
	publicPaths := map[string]bool{lynxapi.PathReady: true, lynxapi.PathAlive: true}
	routeSource := &api{opts: Options{Pprof: true}}
	for _, route := range routeSource.routes() {
		if publicPaths[route.Path] {
			continue
		}
		path := strings.NewReplacer(":name", "n", ":id", "i").Replace(route.Path)
		for _, token := range []string{"", "wrong"} {
			if got := kindOf(t, a.call(token, route.Method, path, "")); got != "unauthenticated" {
				t.Errorf("%s %s with token %q: %s", route.Method, path, token, got)
			}
		}
		changes := route.Method != http.MethodGet || strings.HasPrefix(path, "/debug/pprof")
		if changes {
			if got := kindOf(t, a.call(a.viewer, route.Method, path, "")); got != "forbidden" {
				t.Errorf("%s %s for a viewer: %s", route.Method, path, got)
			}
		}
	}
	if len(a.operations.changes) != 0 {
		t.Fatalf("refused calls changed something: %v", a.operations.changes)
	}
	if n := strings.Count(a.logOutput.String(), "operator_refused"); n == 0 {
		t.Fatal("refused calls were not logged")
	}
}

func TestChangesReachTheOperationsAndTheAuditLog(t *testing.T) {
	tests := []struct{ method, path, body, want string }{
		{"PUT", "/v1/profiles/p", `{"profile":{"name":"p"},"change_id":"c1"}`, "set omar p c1"},
		{"DELETE", "/v1/profiles/p?if_version=3&change_id=c2", "", "delete omar p c2"},
		{"POST", "/v1/profiles/p/rollback", `{"steps":1,"change_id":"c3"}`, "rollback omar p c3"},
		{"POST", "/v1/drains", `{"subject":"place/lac-a"}`, "drain omar place/lac-a"},
		{"DELETE", "/v1/drains?subject=place/lac-a", "", "undrain omar place/lac-a"},
		{"PUT", "/v1/limits", `{"organisation":"acme","concurrent":5}`, "limit omar acme"},
		{"PUT", "/v1/placements", `{"service":"lynx-pool","models":[{"model":"m","version":"1","min":1}]}`, "plan omar lynx-pool"},
	}
	for _, tt := range tests {
		t.Run(tt.want, func(t *testing.T) {
			a := newAdmin(t, false)
			if answer := a.call(a.operator, tt.method, tt.path, tt.body); answer.Code != 200 {
				t.Fatalf("%d %s", answer.Code, answer.Body)
			}
			if len(a.operations.changes) != 1 || a.operations.changes[0] != tt.want {
				t.Fatalf("changes %v", a.operations.changes)
			}
			audit := a.logOutput.String()
			if !strings.Contains(audit, "operator_changed") || !strings.Contains(audit, "operator=omar") || strings.Contains(audit, a.operator) {
				t.Fatalf("audit %s", audit)
			}
			a.operations.err = errkind.New(errkind.ChangeUnknown, "no answer")
			answer := a.call(a.operator, tt.method, tt.path, tt.body)
			if kindOf(t, answer) != "change_unknown" || !strings.Contains(a.logOutput.String(), "operator_failed") {
				t.Fatalf("%d %s, audit %s", answer.Code, answer.Body, &a.logOutput)
			}
		})
	}
}

func TestFaultyChangesAreRefusedBeforeTheOperation(t *testing.T) {
	a := newAdmin(t, false)
	tests := []struct{ method, path, body string }{
		{"PUT", "/v1/profiles/p", `{"profile":{"name":"q"},"change_id":"c"}`},
		{"PUT", "/v1/profiles/p", `{"profile":{"name":"p"}}`},
		{"PUT", "/v1/profiles/p", `{"profile":{"name":"p","colour":1},"change_id":"c"}`},
		{"PUT", "/v1/profiles/p", `{"profile":{"name":"p"},"change_id":"c","wait_ms":-1}`},
		{"DELETE", "/v1/profiles/p?change_id=c", ""},
		{"DELETE", "/v1/profiles/p?if_version=1", ""},
		{"POST", "/v1/profiles/p/rollback", `{"steps":0,"change_id":"c"}`},
		{"POST", "/v1/drains", `{}`},
		{"DELETE", "/v1/drains", ""},
		{"PUT", "/v1/limits", `{"organisation":"acme","concurrent":-5}`},
		{"PUT", "/v1/placements", `{"service":"s","models":[{"model":"m","version":"1","min":3,"max":2}]}`},
		{"PUT", "/v1/placements", `{"service":"s","models":[],"roles":[{"role":"","engines":1}]}`},
		{"PUT", "/v1/placements", `[]`},
		{"GET", "/v1/report/burn?window=10", ""},
		{"GET", "/v1/report/burn/local?window=-1m", ""},
	}
	for _, tt := range tests {
		if got := kindOf(t, a.call(a.operator, tt.method, tt.path, tt.body)); got != "bad_request" {
			t.Errorf("%s %s %s: %s", tt.method, tt.path, tt.body, got)
		}
	}
	if len(a.operations.changes) != 0 {
		t.Fatalf("changes %v", a.operations.changes)
	}
}

func TestReportCoversTheWindowOfTheCall(t *testing.T) {
	a := newAdmin(t, false)
	for path, want := range map[string]time.Duration{
		"/v1/report/burn": 0, "/v1/report/burn?window=10m": 10 * time.Minute, "/v1/report/burn/local?window=1m30s": 90 * time.Second,
	} {
		a.operations.window = -1
		if code := a.call(a.operator, "GET", path, "").Code; code != 200 || a.operations.window != want {
			t.Errorf("%s: status %d, window %v", path, code, a.operations.window)
		}
	}
}

func TestAChangeThatIsNotInForceIsAnsweredWith202(t *testing.T) {
	a := newAdmin(t, false)
	for state, want := range map[string]int{
		lynxapi.ChangeAccepted: 200, lynxapi.ChangeDryRun: 200, lynxapi.ChangeWritten: 202, lynxapi.ChangeUnknown: 202,
	} {
		a.operations.state = state
		if got := a.call(a.operator, "PUT", "/v1/profiles/p", `{"profile":{"name":"p"},"change_id":"c"}`).Code; got != want {
			t.Errorf("state %s: %d", state, got)
		}
	}
}

func TestAskingForAnUnknownChangeSucceeds(t *testing.T) {
	a := newAdmin(t, false)
	if answer := a.call(a.viewer, "GET", "/v1/changes/c", ""); answer.Code != 200 {
		t.Fatalf("%d %s", answer.Code, answer.Body)
	}
}

func TestAViewerReads(t *testing.T) {
	a := newAdmin(t, false)
	for _, path := range []string{"/v1/status", "/v1/profiles/p", "/debug/vars", "/readyz", "/livez"} {
		answer := a.call(a.viewer, "GET", path, "")
		if answer.Code != 200 || !json.Valid(answer.Body.Bytes()) {
			t.Errorf("%s: %d %s", path, answer.Code, answer.Body)
		}
	}
	a.operations.err = errkind.New(errkind.Stopping, "stopping")
	if got := kindOf(t, a.call("", "GET", "/readyz", "")); got != "stopping" {
		t.Errorf("readyz of a stopping instance: %s", got)
	}
}

func TestProfilesOfTheProcessAreServedOnlyIfSwitchedOn(t *testing.T) {
	if got := newAdmin(t, false); kindOf(t, got.call(got.operator, "GET", "/debug/pprof/heap", "")) != "not_found" {
		t.Error("pprof is served though it is switched off")
	}
	on := newAdmin(t, true)
	if answer := on.call(on.operator, "GET", "/debug/pprof/cmdline", ""); answer.Code != 200 {
		t.Errorf("pprof: %d %s", answer.Code, answer.Body)
	}
}
