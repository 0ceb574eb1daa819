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

// call is one call of the admin API.
type call struct {
	ctx      context.Context
	r        *http.Request
	body     []byte
	operator string // name in the token
	subject  string // what a change is about, for the audit event
}

func (c *call) query(name string) string { return c.r.URL.Query().Get(name) }
func (c *call) path(name string) string  { return httpserver.PathVar(c.r, name) }

// operation carries out a call and returns the message to answer with.
type operation func(c *call) (any, error)

// get returns the route of an operation that viewers may use.
func (a *api) get(name, path string, do operation) httpserver.Route {
	return httpserver.Route{Method: http.MethodGet, Path: path, Handler: a.handler(name, auth.RoleViewer, do)}
}

// change returns the route of an operation that only operators may use and
// that is written to the audit log.
func (a *api) change(name, method, path string, do operation) httpserver.Route {
	return httpserver.Route{Method: method, Path: path, Handler: a.handler(name, auth.RoleOperator, do)}
}

func (a *api) handler(name string, role auth.Role, do operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a.opts.Metrics.Labelled(metricCalls).Add(name, 1)
		who, err := a.operator(r, role)
		if err != nil {
			a.refuse(w, r, name, err)
			return
		}
		c := &call{ctx: r.Context(), r: r, operator: who.Name}
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

// operator returns who calls, or an error if the token does not allow it.
func (a *api) operator(r *http.Request, needed auth.Role) (auth.Operator, error) {
	who, err := a.opts.Auth.Operator(r.Header.Get("Authorization"))
	if err != nil {
		return auth.Operator{}, err
	}
	if needed == auth.RoleOperator && who.Role != auth.RoleOperator {
		return auth.Operator{}, errkind.New(errkind.Forbidden, "the token's role is %s; this needs %s", who.Role, needed)
	}
	return who, nil
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

// changeStatus is 202 for a change that is not in force everywhere yet.
func changeStatus(message any) int {
	reply, ok := message.(lynxapi.ChangeReply)
	if ok && (reply.State == lynxapi.ChangeWritten || reply.State == lynxapi.ChangeUnknown) {
		return http.StatusAccepted
	}
	return http.StatusOK
}
