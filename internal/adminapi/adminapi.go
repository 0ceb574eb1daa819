// Package adminapi implements the HTTP API for operators: profiles and their
// changes, instances, targets, drains, limits, model plans, reports and
// metrics. Tokens with the viewer role may only read; tokens with the operator
// role may also make changes. Every change is logged as an audit event.
package adminapi

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lynxhill.example/lynxhill/internal/auth"
	"lynxhill.example/lynxhill/internal/defaults"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/httpserver"
	"lynxhill.example/lynxhill/internal/intake"
	"lynxhill.example/lynxhill/internal/metrics"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// Operations executes the operations of the admin API, one per method. Errors
// have kinds (package errkind). The argument operator is the operator name that
// belongs to the token.
type Operations interface {
	Profiles(ctx context.Context) (lynxapi.ProfileList, error)
	Profile(ctx context.Context, name string) (lynxapi.ProfileView, error)
	SetProfile(ctx context.Context, operator, name string, req lynxapi.ChangeRequest) (lynxapi.ChangeReply, error)
	DeleteProfile(ctx context.Context, operator, name string, ifVersion uint64, changeID string) (lynxapi.ChangeReply, error)
	Rollback(ctx context.Context, operator, name string, req lynxapi.RollbackRequest) (lynxapi.ChangeReply, error)
	InForce(ctx context.Context, name string) (lynxapi.InForceReply, error)
	Change(ctx context.Context, id string) (lynxapi.ChangeReply, error)

	Instances(ctx context.Context) (lynxapi.InstanceList, error)
	Targets(ctx context.Context) (lynxapi.TargetList, error)
	Status(ctx context.Context) (lynxapi.Status, error)

	Drains(ctx context.Context) (lynxapi.DrainList, error)
	Drain(ctx context.Context, operator string, req lynxapi.DrainRequest) (lynxapi.DrainView, error)
	Undrain(ctx context.Context, operator, subject string) error

	Limits(ctx context.Context) (lynxapi.LimitList, error)
	SetLimit(ctx context.Context, operator string, limit lynxapi.OrganisationLimit) (lynxapi.OrganisationLimit, error)
	Plans(ctx context.Context) (lynxapi.PlacementList, error)
	SetPlan(ctx context.Context, operator string, plan lynxapi.ModelPlan) (lynxapi.ModelPlan, error)

	// Burn returns the report merged from all instances that answer.
	// BurnLocal returns the report of this instance alone. A window of 0
	// selects the longest window.
	Burn(ctx context.Context, window time.Duration) (lynxapi.BurnReport, error)
	BurnLocal(ctx context.Context, window time.Duration) (lynxapi.BurnReport, error)

	// Ready returns nil if the instance accepts new requests, otherwise an
	// error with the reason.
	Ready() error
}

// Options configures New.
type Options struct {
	Operations Operations
	Auth       *auth.Verifier
	Logger     *event.Logger
	Metrics    *metrics.Registry
	Registry   http.Handler // serves PathMetrics; nil = Metrics, or an empty registry if that is nil too
	Pprof      bool         // serve the process's pprof profiles to operators
	MaxBody    int64        // bytes; 0 = 1 MiB
	// Memory limits the memory of the requests; nil = no limit.
	Memory *intake.Memory
}

const defaultMaxBody = 1 << 20

var (
	metricCalls   = metrics.Define("admin_calls_total", "calls", "Calls of the admin API by operation.")
	metricRefused = metrics.Define("admin_refused_total", "calls", "Calls of the admin API that were refused for their token or role.")
	metricErrors  = metrics.Define("admin_errors_total", "calls", "Calls of the admin API that failed, by error kind.")
)

type api struct {
	opts       Options
	operations Operations
}

// New returns the handler of the admin listener.
func New(opts Options) (http.Handler, error) {
	if opts.Operations == nil || opts.Auth == nil {
		return nil, errors.New("adminapi: Operations and Auth are required")
	}
	if opts.Registry == nil {
		opts.Registry = registryOrNew(opts.Metrics)
	}
	defaults.Positive(&opts.MaxBody, defaultMaxBody)
	a := &api{opts: opts, operations: opts.Operations}
	return httpserver.NewRouter(httpserver.RouterOptions{Routes: a.routes(), Memory: opts.Memory, Logger: opts.Logger})
}

func registryOrNew(m *metrics.Registry) http.Handler {
	if m == nil {
		m = metrics.NewRegistry()
	}
	return m
}

func (a *api) routes() []httpserver.Route {
	routes := []httpserver.Route{
		a.get("profiles", lynxapi.PathProfiles, a.profiles),
		a.get("profile", lynxapi.PathProfile, a.profile),
		a.change("set_profile", http.MethodPut, lynxapi.PathProfile, a.setProfile),
		a.change("delete_profile", http.MethodDelete, lynxapi.PathProfile, a.deleteProfile),
		a.change("rollback", http.MethodPost, lynxapi.PathProfileRollback, a.rollback),
		a.get("force", lynxapi.PathProfileForce, a.force),
		a.get("change", lynxapi.PathChange, a.changeByID),
		a.get("instances", lynxapi.PathInstances, a.instances),
		a.get("targets", lynxapi.PathTargets, a.targets),
		a.get("status", lynxapi.PathStatus, a.status),
		a.get("drains", lynxapi.PathDrains, a.drains),
		a.change("drain", http.MethodPost, lynxapi.PathDrains, a.drain),
		a.change("undrain", http.MethodDelete, lynxapi.PathDrains, a.undrain),
		a.get("limits", lynxapi.PathLimits, a.limits),
		a.change("set_limit", http.MethodPut, lynxapi.PathLimits, a.setLimit),
		a.get("plans", lynxapi.PathPlacements, a.plans),
		a.change("set_plan", http.MethodPut, lynxapi.PathPlacements, a.setPlan),
		a.get("burn", lynxapi.PathBurn, a.burn),
		a.get("burn_local", lynxapi.PathBurnLocal, a.burnLocal),
		{Method: http.MethodGet, Path: lynxapi.PathMetrics, Handler: a.metrics},
		{Method: http.MethodGet, Path: lynxapi.PathReady, Handler: a.ready},
		{Method: http.MethodGet, Path: lynxapi.PathAlive, Handler: alive},
	}
	if a.opts.Pprof {
		routes = append(routes, a.pprofRoutes()...)
	}
	return routes
}

func (a *api) ready(w http.ResponseWriter, _ *http.Request) {
	if err := a.operations.Ready(); err != nil {
		httpserver.WriteError(w, err, "")
		return
	}
	httpserver.WriteJSON(w, http.StatusOK, struct{}{})
}

func alive(w http.ResponseWriter, _ *http.Request) {
	httpserver.WriteJSON(w, http.StatusOK, struct{}{})
}

func (a *api) metrics(w http.ResponseWriter, r *http.Request) {
	if _, err := a.authorise(r, auth.RoleViewer); err != nil {
		a.refuse(w, r, "metrics", err)
		return
	}
	a.opts.Registry.ServeHTTP(w, r)
}
