package adminapi

import (
	"net/http"
	"net/http/pprof"

	"lynxhill.example/lynxhill/internal/auth"
	"lynxhill.example/lynxhill/internal/httpserver"
)

// pprofRoutes returns the routes of the process's pprof profiles. They require
// the operator role because profiles expose the contents of memory.
func (a *api) pprofRoutes() []httpserver.Route {
	const root = "/debug/pprof"
	handlers := map[string]http.HandlerFunc{
		root:              pprof.Index,
		root + "/cmdline": pprof.Cmdline,
		root + "/profile": pprof.Profile,
		root + "/symbol":  pprof.Symbol,
		root + "/trace":   pprof.Trace,
	}
	for _, name := range []string{"allocs", "block", "goroutine", "heap", "mutex", "threadcreate"} {
		handlers[root+"/"+name] = pprof.Handler(name).ServeHTTP
	}
	routes := make([]httpserver.Route, 0, len(handlers))
	for path, h := range handlers {
		routes = append(routes, httpserver.Route{Method: http.MethodGet, Path: path, Handler: a.operatorsOnly("pprof", h)})
	}
	return routes
}

func (a *api) operatorsOnly(name string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, err := a.authorise(r, auth.RoleOperator); err != nil {
			a.refuse(w, r, name, err)
			return
		}
		next(w, r)
	}
}
