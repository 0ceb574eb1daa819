package httpserver

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestTLSListenerSpeaksBothProtocols uses the certificate of httptest and a
// configuration like that of package tlsconf, which has no fixed certificate.
func TestTLSListenerSpeaksBothProtocols(t *testing.T) {
	source := httptest.NewUnstartedServer(nil)
	source.StartTLS()
	defer source.Close()
	config := &tls.Config{
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return &tls.Config{Certificates: source.TLS.Certificates, NextProtos: []string{"h2", "http/1.1"}}, nil
		},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := New(Options{Name: "test", Listener: listener, TLS: config, Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Proto) })})
	go func() { _ = server.Serve() }()
	defer server.Close()
	for _, want := range []string{"HTTP/1.1", "HTTP/2.0"} {
		protocols := new(http.Protocols)
		protocols.SetHTTP1(want == "HTTP/1.1")
		protocols.SetHTTP2(want == "HTTP/2.0")
		client := source.Client()
		transport := client.Transport.(*http.Transport).Clone()
		transport.Protocols = protocols
		client = &http.Client{Transport: transport}
		resp, err := client.Get("https://" + server.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		transport.CloseIdleConnections()
		if string(body) != want {
			t.Errorf("%s: %s", want, body)
		}
	}
}
