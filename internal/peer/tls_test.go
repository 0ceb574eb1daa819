package peer

import (
	"context"
	"crypto/ed25519"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/gossip"
)

// selfSigned returns a certificate for loopback that is its own authority.
func selfSigned(t *testing.T) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(nil, template, template, public, private)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, pool
}

// firstLine sends the first logged line to a channel.
type firstLine chan string

func (c firstLine) Write(p []byte) (int, error) {
	select {
	case c <- string(p):
	default:
	}
	return len(p), nil
}

func TestMutualTLS(t *testing.T) {
	cert, pool := selfSigned(t)
	logged := make(firstLine, 1)
	server := NewServer(NewHandler(ServerOptions{Exchange: func(_ context.Context, d gossip.Digest) gossip.Digest { return d }}),
		&tls.Config{Certificates: []tls.Certificate{cert}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert},
		event.NewLogger(log.NewLogfmtLogger(logged)))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.ServeTLS(listener, "", "") }()
	defer server.Close()
	addr := listener.Addr().String()

	known := NewClient(Options{TLS: &tls.Config{RootCAs: pool, Certificates: []tls.Certificate{cert}}})
	defer known.Close()
	if reply, err := known.Exchange(t.Context(), addr, gossip.Digest{From: "a"}); err != nil || reply.From != "a" {
		t.Errorf("with a certificate: %+v %v", reply, err)
	}
	unknown := NewClient(Options{TLS: &tls.Config{RootCAs: pool}})
	defer unknown.Close()
	if _, err := unknown.Exchange(t.Context(), addr, gossip.Digest{From: "x"}); err == nil {
		t.Error("an exchange without a certificate succeeded")
	}
	if line := <-logged; !strings.Contains(line, "event=3101") || !strings.Contains(line, "TLS handshake error") {
		t.Errorf("the rejection is logged as %q", line)
	}
}
