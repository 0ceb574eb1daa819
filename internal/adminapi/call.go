package adminapi

import (
	"context"
	"net/http"

	"lynxhill.example/lynxhill/internal/auth"
	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/httpserver"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// call is one authorised call of the admin API.
type call struct {
	ctx      context.Context
	r        *http.Request
	body     []byte
	operator string // name of the operator that the token belongs to
	subject  string // the object that a change applies to, for the audit event
}

func (c *call) query(name string) string { return c.r.URL.Query().Get(name) }
func (c *call) path(name string) string  { return httpserver.PathVar(c.r, name) }

// operation executes a call and returns the message to answer with.
type operation func(c *call) (any, error)

// get returns the route of a read-only operation, which requires the viewer
// role.
func (a *api) get(name, path string, do operation) httpserver.Route {
	return httpserver.Route{Method: http.MethodGet, Path: path, Handler: a.handler(name, auth.RoleViewer, do)}
}

// change returns the route of an operation that requires the operator role and
// is logged as an audit event.
func (a *api) change(name, method, path string, do operation) httpserver.Route {
	return httpserver.Route{Method: method, Path: path, Handler: a.handler(name, auth.RoleOperator, do)}
}

func (a *api) handler(name string, role auth.Role, do operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a.opts.Metrics.Labelled(metricCalls).Add(name, 1)
		identity, err := a.authorise(r, role)
		if err != nil {
			a.refuse(w, r, name, err)
			return
		}
		c := &call{ctx: r.Context(), r: r, operator: identity.Name}
		c.body, err = httpserver.ReadBody(w, r, a.opts.MaxBody)
		var message any
		if err == nil {
			message, err = do(c)
		}
		status := http.StatusOK
		if role == auth.RoleOperator {
			a.audit(c, name, err)
			status = changeStatus(message)
		}
		if err != nil {
			a.opts.Metrics.Labelled(metricErrors).Add(errkind.Of(err).String(), 1)
			httpserver.WriteError(w, err, "")
			return
		}
		httpserver.WriteJSON(w, status, message)
	}
}

// authorise returns the operator that the request's token belongs to, or an
// error if the token is invalid or lacks the needed role.
func (a *api) authorise(r *http.Request, needed auth.Role) (auth.Operator, error) {
	identity, err := a.opts.Auth.Operator(r.Header.Get("Authorization"))
	if err != nil {
		return auth.Operator{}, err
	}
	if needed == auth.RoleOperator && identity.Role != auth.RoleOperator {
		return auth.Operator{}, errkind.New(errkind.Forbidden, "the token's role is %s; this needs %s", identity.Role, needed)
	}
	return identity, nil
}

func (a *api) refuse(w http.ResponseWriter, r *http.Request, name string, err error) {
	a.opts.Metrics.Counter(metricRefused).Add(1)
	a.opts.Logger.Log(event.OperatorRefused, "operation", name, "from", r.RemoteAddr, "kind", errkind.Of(err))
	httpserver.WriteError(w, err, "")
}

func (a *api) audit(c *call, name string, err error) {
	if err != nil {
		a.opts.Logger.Log(event.OperatorFailed, "operator", c.operator, "operation", name, "subject", c.subject,
			"kind", errkind.Of(err), "error", err)
		return
	}
	a.opts.Logger.Log(event.OperatorChanged, "operator", c.operator, "operation", name, "subject", c.subject)
}

// changeStatus returns the HTTP status of a successful change: 202 if the
// change is not in force everywhere yet or its state is unknown, otherwise 200.
func changeStatus(message any) int {
	reply, ok := message.(lynxapi.ChangeReply)
	if ok && (reply.State == lynxapi.ChangeWritten || reply.State == lynxapi.ChangeUnknown) {
		return http.StatusAccepted
	}
	return http.StatusOK
}
