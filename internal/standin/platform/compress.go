package platform

import (
	"compress/gzip"
	"net/http"
	"strings"
)

// compressed answers GET requests that accept it with gzip, as an object API in
// production does.
func compressed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
			next.ServeHTTP(w, r)
			return
		}
		out := &gzipWriter{ResponseWriter: w}
		next.ServeHTTP(out, r)
		out.close()
	})
}

// gzipWriter compresses a body. A handler that aborts leaves no body at all.
type gzipWriter struct {
	http.ResponseWriter
	zip *gzip.Writer
}

// Write implements http.ResponseWriter.
func (g *gzipWriter) Write(p []byte) (int, error) {
	if g.zip == nil {
		g.Header().Set("Content-Encoding", "gzip")
		g.zip = gzip.NewWriter(g.ResponseWriter)
	}
	return g.zip.Write(p)
}

// WriteHeader implements http.ResponseWriter. Every answer of the stand-in to a
// GET has a body.
func (g *gzipWriter) WriteHeader(status int) {
	g.Header().Set("Content-Encoding", "gzip")
	g.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the connection.
func (g *gzipWriter) Unwrap() http.ResponseWriter { return g.ResponseWriter }

func (g *gzipWriter) close() {
	if g.zip != nil {
		_ = g.zip.Close() // the caller is gone then
	}
}
