package httpserver

import (
	"net/http"
	"net/url"
	"time"

	"github.com/zeromicro/go-zero/rest/chain"
	"github.com/zeromicro/go-zero/rest/pathvar"
	"github.com/zeromicro/go-zero/rest/router"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
)

// Middleware wraps a handler.
type Middleware = func(http.Handler) http.Handler

// Route is a method and path with its handler; ":name" in the path is a
// variable.
type Route struct {
	Method  string
	Path    string
	Handler http.HandlerFunc
}

// RouterOptions of NewRouter.
type RouterOptions struct {
	Routes     []Route
	Middleware []Middleware // the first is outermost
	// BodyTimeout is how long a client may take for its whole body; 0 =
	// DefaultBodyTimeout.
	BodyTimeout time.Duration
	Logger      *event.Logger
}

// NewRouter returns go-zero's router with its chain of middlewares.
//
// The parts are taken from go-zero's rest one by one. rest.NewServer, also
// behind rest.NewServerless, would add for each server to lists of the whole
// process (shutdown listeners, agents, log writers), which stay when the
// server is gone, and several instances in one process, as on the bench, would
// share them. Its middlewares stay out for what they do: see hazards_test.go.
func NewRouter(opts RouterOptions) (http.Handler, error) {
	r := router.NewRouter()
	r.SetNotFoundHandler(http.HandlerFunc(notFound))
	r.SetNotAllowedHandler(http.HandlerFunc(notAllowed))
	middlewares := chain.New(recoverer(opts.Logger), bodyDeadline(opts.BodyTimeout))
	for _, m := range opts.Middleware {
		middlewares = middlewares.Append(m)
	}
	for _, route := range opts.Routes {
		if err := r.Handle(route.Method, route.Path, route.Handler); err != nil {
			return nil, err
		}
	}
	return middlewares.Then(matchEscaped(r)), nil
}

// matchEscaped lets the router match the path as it was sent. It would
// otherwise split a variable that holds a slash, such as the idempotency key
// a/b sent as a%2Fb, and the caller would be told that there is no such path.
func matchEscaped(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		escaped := *r.URL
		escaped.Path = r.URL.EscapedPath()
		escaped.RawPath = ""
		matched := *r
		matched.URL = &escaped
		next.ServeHTTP(w, &matched)
	})
}

// PathVar returns the variable of the route's path, such as "profile" of
// /v1/profiles/:profile/requests, decoded.
func PathVar(r *http.Request, name string) string {
	raw := pathvar.Vars(r)[name]
	value, err := url.PathUnescape(raw)
	if err != nil {
		return raw
	}
	return value
}

func notFound(w http.ResponseWriter, _ *http.Request) {
	WriteError(w, errkind.New(errkind.NotFound, "there is no such path"), "")
}

func notAllowed(w http.ResponseWriter, _ *http.Request) {
	WriteError(w, errkind.New(errkind.NotFound, "the path does not know this method"), "")
}
