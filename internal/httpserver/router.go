package httpserver

import (
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/core/trace"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/chain"
	"github.com/zeromicro/go-zero/rest/pathvar"
	"github.com/zeromicro/go-zero/rest/router"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
)

// Middleware wraps a handler.
type Middleware = func(http.Handler) http.Handler

// RouterOptions of NewRouter.
type RouterOptions struct {
	Routes     []rest.Route
	Middleware []Middleware // the first is outermost
	// BodyTimeout is how long a client may take for its whole body; 0 =
	// DefaultBodyTimeout.
	BodyTimeout time.Duration
	Logger      *event.Logger
}

// NewRouter returns a handler that is go-zero's rest server used as router and
// host of middlewares only. Its own middlewares (timeout, shedding, breaker,
// connection limit, body limit, tracing, Prometheus) and its listener and
// signal handling stay out: they answer 503 outside the table of error kinds
// while a handler goes on, or cut requests in flight.
func NewRouter(opts RouterOptions) (http.Handler, error) {
	r := router.NewRouter()
	r.SetNotFoundHandler(http.HandlerFunc(notFound))
	r.SetNotAllowedHandler(http.HandlerFunc(notAllowed))
	middlewares := append([]Middleware{recoverer(opts.Logger), deadlines(opts.BodyTimeout)}, opts.Middleware...)
	native := make([]chain.Middleware, len(middlewares))
	for i, m := range middlewares {
		native[i] = m
	}
	server, err := rest.NewServer(quietConf(), rest.WithRouter(r), rest.WithChain(chain.New(native...)))
	if err != nil {
		return nil, err
	}
	bridgeLogs(opts.Logger)
	server.AddRoutes(opts.Routes)
	serverless, err := rest.NewServerless(server)
	if err != nil {
		return nil, err
	}
	return http.HandlerFunc(serverless.Serve), nil
}

// quietConf is the zero configuration with tracing off: no middleware, agent
// or server of go-zero is switched on.
func quietConf() rest.RestConf {
	return rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:      "lynxhill",
			Log:       logx.LogConf{Mode: "console", Encoding: "plain", Level: "error"},
			Mode:      service.ProMode,
			Telemetry: trace.Config{Disabled: true},
		},
	}
}

// PathVar returns the variable of the route's path, such as "profile" of
// /v1/profiles/:profile/requests.
func PathVar(r *http.Request, name string) string { return pathvar.Vars(r)[name] }

func notFound(w http.ResponseWriter, _ *http.Request) {
	WriteError(w, errkind.New(errkind.NotFound, "there is no such path"), "")
}

func notAllowed(w http.ResponseWriter, _ *http.Request) {
	WriteError(w, errkind.New(errkind.NotFound, "the path does not know this method"), "")
}
