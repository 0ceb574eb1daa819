package client

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// AdminOptions configures an Admin.
type AdminOptions struct {
	Servers     []string // admin addresses, host:port or URLs, in the order to try
	Token       string
	TLS         *tls.Config // nil = plain HTTP, unless the server's URL has the scheme https
	DialTimeout time.Duration
}

// Admin is a client of the admin API. A call that certainly did not reach a
// server is sent to the next one. Any other error is returned, because the
// change may have been made.
type Admin struct {
	servers []adminServer
	token   string
}

type adminServer struct {
	base string
	do   doer
}

// NewAdmin returns a client of the admin API.
func NewAdmin(opts AdminOptions) *Admin {
	httpClient := newHTTPClient(opts.TLS, opts.DialTimeout)
	a := &Admin{token: opts.Token}
	for _, server := range opts.Servers {
		base := baseURL(server, opts.TLS != nil)
		a.servers = append(a.servers, adminServer{base: base, do: serviceOf(httpClient, base)})
	}
	return a
}

// do sends the call to the servers in order until one has received it.
func (a *Admin) do(ctx context.Context, c call, reply any) error {
	err := ErrNoServers
	for _, server := range a.servers {
		resp, callErr := send(ctx, server.do, server.base, a.token, c)
		if callErr == nil {
			return readReply(server.base, resp, reply)
		}
		err = callErr
		if !IsUnreachable(callErr) || ctx.Err() != nil {
			return callErr
		}
	}
	return err
}

func get[M any](ctx context.Context, a *Admin, path string, query url.Values) (M, error) {
	var message M
	err := a.do(ctx, call{method: http.MethodGet, path: path, query: query}, &message)
	return message, err
}

func put[M any](ctx context.Context, a *Admin, method, path string, body any) (M, error) {
	var message M
	err := a.do(ctx, call{method: method, path: path, body: body}, &message)
	return message, err
}

// pathOf substitutes the only variable of a path.
func pathOf(path, variable, value string) string {
	return strings.Replace(path, variable, url.PathEscape(value), 1)
}

// Profiles lists the profiles in force.
func (a *Admin) Profiles(ctx context.Context) (lynxapi.ProfileList, error) {
	return get[lynxapi.ProfileList](ctx, a, lynxapi.PathProfiles, nil)
}

// Profile returns one profile, or an error of kind NotFound or UnknownProfile.
func (a *Admin) Profile(ctx context.Context, name string) (lynxapi.ProfileView, error) {
	return get[lynxapi.ProfileView](ctx, a, pathOf(lynxapi.PathProfile, ":name", name), nil)
}

// SetProfile creates or changes a profile. After an error of kind ChangeUnknown,
// or a *TransportError with Sent, it is unknown whether the profile was written;
// Change returns the state of the change.
func (a *Admin) SetProfile(ctx context.Context, req lynxapi.ChangeRequest) (lynxapi.ChangeReply, error) {
	path := pathOf(lynxapi.PathProfile, ":name", req.Profile.Name)
	return put[lynxapi.ChangeReply](ctx, a, http.MethodPut, path, req)
}

// DeleteProfile deletes a profile, so that it is no longer in force.
func (a *Admin) DeleteProfile(ctx context.Context, name string, ifVersion uint64, changeID string) (lynxapi.ChangeReply, error) {
	var reply lynxapi.ChangeReply
	query := url.Values{"if_version": {strconv.FormatUint(ifVersion, 10)}, "change_id": {changeID}}
	c := call{method: http.MethodDelete, path: pathOf(lynxapi.PathProfile, ":name", name), query: query}
	err := a.do(ctx, c, &reply)
	return reply, err
}

// Rollback restores the content of an earlier version of a profile as a new
// version.
func (a *Admin) Rollback(ctx context.Context, name string, req lynxapi.RollbackRequest) (lynxapi.ChangeReply, error) {
	return put[lynxapi.ChangeReply](ctx, a, http.MethodPost, pathOf(lynxapi.PathProfileRollback, ":name", name), req)
}

// InForce returns on which instances the newest version of a profile is in force.
func (a *Admin) InForce(ctx context.Context, name string) (lynxapi.InForceReply, error) {
	return get[lynxapi.InForceReply](ctx, a, pathOf(lynxapi.PathProfileForce, ":name", name), nil)
}

// Change returns the state of a change.
func (a *Admin) Change(ctx context.Context, id string) (lynxapi.ChangeReply, error) {
	return get[lynxapi.ChangeReply](ctx, a, pathOf(lynxapi.PathChange, ":id", id), nil)
}

// Instances lists the instances.
func (a *Admin) Instances(ctx context.Context) (lynxapi.InstanceList, error) {
	return get[lynxapi.InstanceList](ctx, a, lynxapi.PathInstances, nil)
}

// Targets lists the targets.
func (a *Admin) Targets(ctx context.Context) (lynxapi.TargetList, error) {
	return get[lynxapi.TargetList](ctx, a, lynxapi.PathTargets, nil)
}

// Status returns a summary of the instance that answers.
func (a *Admin) Status(ctx context.Context) (lynxapi.Status, error) {
	return get[lynxapi.Status](ctx, a, lynxapi.PathStatus, nil)
}

// Drains lists the drains in force.
func (a *Admin) Drains(ctx context.Context) (lynxapi.DrainList, error) {
	return get[lynxapi.DrainList](ctx, a, lynxapi.PathDrains, nil)
}

// Drain orders that a subject receive no new work.
func (a *Admin) Drain(ctx context.Context, subject string) (lynxapi.DrainView, error) {
	return put[lynxapi.DrainView](ctx, a, http.MethodPost, lynxapi.PathDrains, lynxapi.DrainRequest{Subject: subject})
}

// ForceDrain is like Drain, but does not require that an instance knows the
// subject already.
func (a *Admin) ForceDrain(ctx context.Context, subject string) (lynxapi.DrainView, error) {
	return put[lynxapi.DrainView](ctx, a, http.MethodPost, lynxapi.PathDrains, lynxapi.DrainRequest{Subject: subject, Force: true})
}

// Undrain ends a drain.
func (a *Admin) Undrain(ctx context.Context, subject string) error {
	c := call{method: http.MethodDelete, path: lynxapi.PathDrains, query: url.Values{"subject": {subject}}}
	return a.do(ctx, c, &struct{}{})
}

// Limits lists the limits of organisations.
func (a *Admin) Limits(ctx context.Context) (lynxapi.LimitList, error) {
	return get[lynxapi.LimitList](ctx, a, lynxapi.PathLimits, nil)
}

// SetLimit sets the limit of an organisation.
func (a *Admin) SetLimit(ctx context.Context, limit lynxapi.OrganisationLimit) (lynxapi.OrganisationLimit, error) {
	return put[lynxapi.OrganisationLimit](ctx, a, http.MethodPut, lynxapi.PathLimits, limit)
}

// Plans lists which models the engines of each service should hold.
func (a *Admin) Plans(ctx context.Context) (lynxapi.PlacementList, error) {
	return get[lynxapi.PlacementList](ctx, a, lynxapi.PathPlacements, nil)
}

// SetPlan sets which models the engines of a service should hold.
func (a *Admin) SetPlan(ctx context.Context, plan lynxapi.ModelPlan) (lynxapi.ModelPlan, error) {
	return put[lynxapi.ModelPlan](ctx, a, http.MethodPut, lynxapi.PathPlacements, plan)
}

// Burn returns the service-level report of all instances over the longest
// window that they keep.
func (a *Admin) Burn(ctx context.Context) (lynxapi.BurnReport, error) { return a.BurnOver(ctx, 0) }

// BurnOver is like Burn, over the given window ending now; 0 selects the
// longest window.
func (a *Admin) BurnOver(ctx context.Context, window time.Duration) (lynxapi.BurnReport, error) {
	var query url.Values
	if window > 0 {
		query = url.Values{lynxapi.ParamWindow: {window.String()}}
	}
	return get[lynxapi.BurnReport](ctx, a, lynxapi.PathBurn, query)
}

// NewestVersion returns the newest version of a profile and its content. The
// version is 0 if the profile does not exist.
func (a *Admin) NewestVersion(ctx context.Context, name string) (uint64, profile.Profile, error) {
	view, err := a.Profile(ctx, name)
	if isNotFound(err) {
		return 0, profile.Profile{}, nil
	}
	return view.Version, view.Profile, err
}

func isNotFound(err error) bool {
	return errkind.Is(err, errkind.NotFound) || errkind.Is(err, errkind.UnknownProfile)
}
