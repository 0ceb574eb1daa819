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
	connsPerHost = 32
)

// newTransport returns a transport without HTTP/2, whose own retries could not be
// distinguished from those of the client. It accepts compressed replies: the instance
// list of 972 entries is 160 KB uncompressed, and instances that read it every two
// seconds would use five times their byte budget for all control traffic on it.
//
// Each call has a connection of its own. Replies do not say which call they belong to:
// on a connection that was used before, a late second reply to an earlier call could be
// taken for that of the next one.
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
		MaxConnsPerHost:     connsPerHost,
		DisableKeepAlives:   true,
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
