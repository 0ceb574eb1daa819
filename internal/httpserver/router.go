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
	"lynxhill.example/lynxhill/internal/intake"
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

// RouterOptions configure NewRouter.
type RouterOptions struct {
	Routes     []Route
	Middleware []Middleware // the first is outermost
	// BodyTimeout is how long a client may take to send its whole body; 0 =
	// DefaultBodyTimeout.
	BodyTimeout time.Duration
	// Memory limits the memory of the requests; nil = no limit.
	Memory *intake.Memory
	Logger *event.Logger
}

// NewRouter returns go-zero's router with its chain of middlewares.
//
// It uses individual parts of go-zero's rest package. rest.NewServer, which
// rest.NewServerless calls as well, would add entries for each server to
// process-wide lists (shutdown listeners, agents, log writers). These entries
// would outlive the server, and several instances in one process, as in package
// bench, would share them. go-zero's own middlewares are not used because of the
// faults that hazards_test.go shows.
func NewRouter(opts RouterOptions) (http.Handler, error) {
	r := router.NewRouter()
	r.SetNotFoundHandler(http.HandlerFunc(notFound))
	r.SetNotAllowedHandler(http.HandlerFunc(methodNotAllowed))
	middlewares := chain.New(recoverPanics(opts.Logger), bodyDeadline(opts.BodyTimeout), limitMemory(opts.Memory, opts.BodyTimeout))
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

// matchEscaped makes the router match the path as it was sent. It would
// otherwise split a variable that contains a slash, such as the idempotency key
// a/b sent as a%2Fb, and the caller would get a not_found error for the path.
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

// PathVar returns the decoded value of a variable of the route's path, such as
// "profile" of /v1/profiles/:profile/requests.
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

func methodNotAllowed(w http.ResponseWriter, _ *http.Request) {
	WriteError(w, errkind.New(errkind.NotFound, "the path does not know this method"), "")
}
