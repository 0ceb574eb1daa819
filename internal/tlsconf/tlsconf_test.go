package tlsconf

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"
)

// authority is a test CA.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T, name string) authority {
	t.Helper()
	template := template(name)
	template.IsCA = true
	template.KeyUsage = x509.KeyUsageCertSign
	key := newKey(t)
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(raw)
	if err != nil {
		t.Fatal(err)
	}
	return authority{certificate: certificate, key: key}
}

func template(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber:          big.NewInt(time.Now().UnixNano()),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(24 * time.Hour),
		BasicConstraintsValid: true,
	}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// files are the PEM files of one instance.
type files struct{ certificate, key, ca string }

func newFiles(t *testing.T) files {
	dir := t.TempDir()
	return files{filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem")}
}

// issue writes a new key and a certificate that the CA signed.
func (f files) issue(t *testing.T, ca authority, name string) {
	t.Helper()
	key := newKey(t)
	template := template(name)
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	raw, err := x509.CreateCertificate(rand.Reader, template, ca.certificate, &key.PublicKey, ca.key)
	if err != nil {
		t.Fatal(err)
	}
	rawKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, f.certificate, "CERTIFICATE", raw)
	writePEM(t, f.key, "EC PRIVATE KEY", rawKey)
}

func (f files) trust(t *testing.T, ca authority) {
	t.Helper()
	writePEM(t, f.ca, "CERTIFICATE", ca.certificate.Raw)
}

func writePEM(t *testing.T, path, kind string, raw []byte) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (f files) reloader(t *testing.T, mutual bool) *Reloader {
	t.Helper()
	opts := Options{Name: "peer", CertFile: f.certificate, KeyFile: f.key, PollEvery: time.Second}
	if mutual {
		opts.ClientCAFile = f.ca
	}
	r, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// instance returns the files and the reloader of an instance with a certificate of the
// CA.
func instance(t *testing.T, ca authority, name string) (files, *Reloader) {
	t.Helper()
	f := newFiles(t)
	f.issue(t, ca, name)
	f.trust(t, ca)
	return f, f.reloader(t, true)
}

// handshake connects client to server. It returns the name in the certificate that the
// client received, and the errors of both ends.
func handshake(t *testing.T, server, client *tls.Config) (name string, serverErr, clientErr error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	b, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	a, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	serverDone := make(chan error, 1)
	go func() {
		defer a.Close()
		conn := tls.Server(a, server)
		err := conn.Handshake()
		if err == nil {
			_, err = conn.Write([]byte("x"))
		}
		serverDone <- err
	}()
	conn := tls.Client(b, client)
	clientErr = conn.Handshake()
	if clientErr == nil {
		name = conn.ConnectionState().PeerCertificates[0].Subject.CommonName
		_, clientErr = conn.Read(make([]byte, 1)) // TLS 1.3 reports a rejected client certificate here
	}
	_ = b.Close()
	return name, <-serverDone, clientErr
}

func clientConfig(t *testing.T, r *Reloader) *tls.Config {
	t.Helper()
	cfg, err := r.ClientConfig()
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func TestInstancesOfOneCATrustOneAnother(t *testing.T) {
	ca := newAuthority(t, "ca")
	_, server := instance(t, ca, "server")
	_, client := instance(t, ca, "client")
	name, serverErr, clientErr := handshake(t, server.ServerConfig(), clientConfig(t, client))
	if name != "server" || serverErr != nil || clientErr != nil {
		t.Fatalf("%q, server %v, client %v", name, serverErr, clientErr)
	}
}

// Guards against connections between instances and processes without a certificate of
// their CA.
func TestStrangersAreRefusedByBothEnds(t *testing.T) {
	ours, theirs := newAuthority(t, "ours"), newAuthority(t, "theirs")
	_, insider := instance(t, ours, "insider")
	strangerFiles := newFiles(t)
	strangerFiles.issue(t, theirs, "stranger")
	strangerFiles.trust(t, ours) // trusts our CA but has no certificate signed by it
	stranger := strangerFiles.reloader(t, true)
	if _, serverErr, _ := handshake(t, insider.ServerConfig(), clientConfig(t, stranger)); serverErr == nil {
		t.Error("a client of another CA was accepted")
	}
	noCertificate := &tls.Config{InsecureSkipVerify: true}
	if _, serverErr, _ := handshake(t, insider.ServerConfig(), noCertificate); serverErr == nil {
		t.Error("a client without a certificate was accepted")
	}
	open := strangerFiles.reloader(t, false)
	if _, _, clientErr := handshake(t, open.ServerConfig(), clientConfig(t, insider)); clientErr == nil {
		t.Error("a server of another CA was accepted")
	}
}

// Guards against calls failing when certificates expire although new ones have been
// installed. The files are replaced, and one of them is damaged for a while.
func TestReplacedFilesAreUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ca := newAuthority(t, "ca") // created inside the bubble, since its dates are of virtual time
		f := newFiles(t)
		f.issue(t, ca, "old")
		f.trust(t, ca)
		server := f.reloader(t, true)
		_, client := instance(t, ca, "client")
		serverCfg, clientCfg := server.ServerConfig(), clientConfig(t, client)
		go server.Run(t.Context())
		seen := func() string {
			time.Sleep(1500 * time.Millisecond)
			synctest.Wait()
			name, _, _ := handshake(t, serverCfg, clientCfg)
			return name
		}
		if got := seen(); got != "old" {
			t.Fatalf("certificate %q", got)
		}
		f.issue(t, ca, "a newer one")
		if got := seen(); got != "a newer one" {
			t.Fatalf("certificate %q after it was replaced", got)
		}
		if err := os.WriteFile(f.certificate, []byte("half"), 0o600); err != nil {
			t.Fatal(err)
		}
		if got := seen(); got != "a newer one" {
			t.Fatalf("certificate %q while the file is damaged", got)
		}
		f.issue(t, ca, "the newest of all")
		if got := seen(); got != "the newest of all" {
			t.Fatalf("certificate %q after the file was repaired", got)
		}
	})
}

// Guards against a revoked CA being trusted until the next restart.
func TestAReplacedCAHoldsForBothEnds(t *testing.T) {
	old, fresh := newAuthority(t, "old"), newAuthority(t, "fresh")
	serverFiles, server := instance(t, old, "server")
	clientFiles, client := instance(t, old, "client")
	serverCfg, clientCfg := server.ServerConfig(), clientConfig(t, client)
	serverFiles.trust(t, fresh)
	if err := server.Reload(); err != nil {
		t.Fatal(err)
	}
	if _, serverErr, _ := handshake(t, serverCfg, clientCfg); serverErr == nil {
		t.Error("the server accepted a client of the revoked CA")
	}
	serverFiles.trust(t, old)
	if err := server.Reload(); err != nil {
		t.Fatal(err)
	}
	clientFiles.trust(t, fresh)
	if err := client.Reload(); err != nil {
		t.Fatal(err)
	}
	if _, _, clientErr := handshake(t, serverCfg, clientCfg); clientErr == nil {
		t.Error("the client accepted a server of the revoked CA")
	}
}

func TestUnusableFilesAreRefusedAtTheStart(t *testing.T) {
	ca := newAuthority(t, "ca")
	f := newFiles(t)
	f.issue(t, ca, "server")
	if _, err := New(Options{CertFile: f.key, KeyFile: f.certificate}); err == nil {
		t.Error("swapped files were accepted")
	}
	if _, err := New(Options{CertFile: f.certificate, KeyFile: f.key, ClientCAFile: f.key}); err == nil {
		t.Error("a CA file without certificate was accepted")
	}
	if _, err := f.reloader(t, false).ClientConfig(); err == nil {
		t.Error("a client configuration without CA was created")
	}
}
