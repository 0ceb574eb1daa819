// Package tlsconf makes TLS configurations whose certificate, key and CA files are
// read again when they change, so that no instance has to be restarted for a new
// certificate. Between instances TLS is mutual.
package tlsconf

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/event"
	"lynxhill.example/lynxhill/internal/filewatch"
)

// Options of a Reloader. The files are PEM files.
type Options struct {
	Name     string // of the listener, for the log
	CertFile string
	KeyFile  string
	// ClientCAFile holds the CA that must have signed the peer's certificate; ""
	// means that clients need no certificate.
	ClientCAFile string
	PollEvery    time.Duration // how often the files are checked for changes; 0 = 2 s
	Clock        clock.Clock   // nil = real time
	Logger       *event.Logger
}

// Reloader holds the current certificate and CA of a listener.
type Reloader struct {
	opts Options

	mu          sync.RWMutex // guards current and loadedState
	current     material
	loadedState filewatch.State
}

// material is the content of the files.
type material struct {
	certificate *tls.Certificate
	pool        *x509.CertPool // nil without a CA
}

// New reads the files. It returns an error if one cannot be used.
func New(opts Options) (*Reloader, error) {
	r := &Reloader{opts: opts}
	return r, r.Reload()
}

// Reload reads the files again. On an error the previous content stays in use.
func (r *Reloader) Reload() error {
	state := r.files().State()
	fresh, err := read(r.opts)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current, r.loadedState = fresh, state
	return nil
}

func read(opts Options) (material, error) {
	certificate, err := tls.LoadX509KeyPair(opts.CertFile, opts.KeyFile)
	if err != nil {
		return material{}, fmt.Errorf("certificate %s with key %s: %w", opts.CertFile, opts.KeyFile, err)
	}
	fresh := material{certificate: &certificate}
	if opts.ClientCAFile == "" {
		return fresh, nil
	}
	pem, err := os.ReadFile(opts.ClientCAFile)
	if err != nil {
		return material{}, err
	}
	fresh.pool = x509.NewCertPool()
	if !fresh.pool.AppendCertsFromPEM(pem) {
		return material{}, fmt.Errorf("%s holds no certificate", opts.ClientCAFile)
	}
	return fresh, nil
}

// Run reads the files again whenever one changes, until ctx ends.
func (r *Reloader) Run(ctx context.Context) {
	filewatch.Watch{
		Files: r.files(), Interval: r.opts.PollEvery, Clock: r.opts.Clock,
		LoadedState: r.used, Reload: r.Reload, OnReload: r.reloaded,
	}.Run(ctx)
}

func (r *Reloader) files() filewatch.Files {
	return filewatch.Files{r.opts.CertFile, r.opts.KeyFile, r.opts.ClientCAFile}
}

func (r *Reloader) used() filewatch.State {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.loadedState
}

func (r *Reloader) reloaded(err error) {
	if err != nil {
		r.opts.Logger.Log(event.CertificatesUnusable, "listener", r.opts.Name, "error", err)
		return
	}
	r.opts.Logger.Log(event.CertificatesReloaded, "listener", r.opts.Name)
}

func (r *Reloader) material() material {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.current
}

// ServerConfig returns the configuration of a listener. Each handshake uses the
// current files; established connections keep the certificate and CA that they
// started with.
func (r *Reloader) ServerConfig() *tls.Config {
	protocols := []string{"h2", "http/1.1"}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			now := r.material()
			cfg := &tls.Config{
				MinVersion:   tls.VersionTLS12,
				NextProtos:   protocols,
				Certificates: []tls.Certificate{*now.certificate},
			}
			if now.pool != nil {
				cfg.ClientAuth = tls.RequireAndVerifyClientCert
				cfg.ClientCAs = now.pool
			}
			return cfg, nil
		},
	}
}

// errNoCA is returned for a client configuration without a CA file.
var errNoCA = errors.New("a client configuration needs a CA file")

// ClientConfig returns the configuration for connections to other instances. It
// presents the instance's own certificate and accepts servers whose certificates the
// same CA signed. Instances are addressed by IP addresses that change with every
// replacement, so the name in the certificate is not checked; the CA must sign
// certificates of instances only.
func (r *Reloader) ClientConfig() (*tls.Config, error) {
	if r.opts.ClientCAFile == "" {
		return nil, errNoCA
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2"},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return r.material().certificate, nil
		},
		// The standard verification requires a name and a fixed CA pool.
		// VerifyConnection below checks the chain against the current pool.
		InsecureSkipVerify: true, //nolint:gosec // replaced by VerifyConnection
		VerifyConnection:   r.verifyServer,
	}, nil
}

// verifyServer verifies the certificate chain of the server. It also runs for resumed
// sessions, so that a revoked CA is no longer accepted there either.
func (r *Reloader) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the other end showed no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         r.material().pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return err
}
