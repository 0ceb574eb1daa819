package storeclient

import (
	"net"
	"net/http"
	"strings"
	"time"
)

// Limits of the connections to the platform.
const (
	dialTimeout  = 2 * time.Second
	idlePerHost  = 8
	connsPerHost = 32
	// idleTimeout is how long an unused connection is kept. An idle connection may
	// go silent unnoticed, and the next call on it would wait for its timeout.
	idleTimeout = 2 * time.Second
)

// newTransport returns a transport without HTTP/2, whose own retries could not be
// distinguished from those of the client. It accepts compressed replies: the instance
// list of 972 entries is 160 KB uncompressed, and instances that read it every two
// seconds would use five times their byte budget for all control traffic on it.
func newTransport(opts Options) *http.Transport {
	dial := opts.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:         dial,
		TLSClientConfig:     opts.TLS,
		TLSHandshakeTimeout: dialTimeout,
		MaxIdleConnsPerHost: idlePerHost,
		MaxConnsPerHost:     connsPerHost,
		IdleConnTimeout:     idleTimeout,
		Protocols:           protocols,
	}
}

// noRedirect returns a redirect to the caller instead of following it: following one
// would send a write twice.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func baseURLs(endpoints []string, secure bool) []string {
	out := make([]string, 0, len(endpoints))
	for _, e := range endpoints {
		if !strings.Contains(e, "://") {
			scheme := "http://"
			if secure {
				scheme = "https://"
			}
			e = scheme + e
		}
		out = append(out, strings.TrimRight(e, "/"))
	}
	return out
}
