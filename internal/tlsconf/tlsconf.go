// Package tlsconf makes TLS configurations whose certificate, key and CA are
// read again from file when they change, so that no instance has to be
// restarted for a new certificate. Between instances TLS is mutual.
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

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/clock"
	"lynxhill.example/lynxhill/internal/event"
)

const defaultPollEvery = 2 * time.Second

// Options of a Reloader. File names are of PEM files.
type Options struct {
	Name     string // of the listener, for the log
	CertFile string
	KeyFile  string
	// ClientCAFile holds the CA whose certificates the other end has to show;
	// "" = clients need none.
	ClientCAFile string
	PollEvery    time.Duration // how often the files are looked at; 0 = 2 s
	Clock        clock.Clock   // nil = real time
	Logger       *event.Logger
}

// Reloader holds the current certificate and CA of a listener.
type Reloader struct {
	opts Options

	mu      sync.RWMutex // guards current and seen
	current material
	seen    fileStates
}

// material is what the files hold.
type material struct {
	certificate *tls.Certificate
	pool        *x509.CertPool // nil without a CA
}

// fileStates tells whether any of the three files was replaced.
type fileStates [3]struct {
	modified time.Time
	size     int64
}

// New reads the files; an unusable one is an error.
func New(opts Options) (*Reloader, error) {
	if opts.Clock == nil {
		opts.Clock = quartz.NewReal()
	}
	if opts.PollEvery <= 0 {
		opts.PollEvery = defaultPollEvery
	}
	r := &Reloader{opts: opts}
	return r, r.Reload()
}

// Reload reads the files again. On an error the old material stays in use.
func (r *Reloader) Reload() error {
	states := r.stat()
	fresh, err := read(r.opts)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current, r.seen = fresh, states
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
	ticker := r.opts.Clock.NewTicker(r.opts.PollEvery)
	defer ticker.Stop()
	var failed fileStates
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			failed = r.poll(failed)
		}
	}
}

// poll reloads changed files; it returns the state of files that could not be
// used, so that one bad set is logged once. While certificate and key are
// replaced one after the other they may not match for a moment; the next poll
// sees the second file change and succeeds.
func (r *Reloader) poll(failed fileStates) fileStates {
	now := r.stat()
	r.mu.RLock()
	same := now == r.seen
	r.mu.RUnlock()
	if same || now == failed {
		return failed
	}
	if err := r.Reload(); err != nil {
		r.opts.Logger.Log(event.CertificatesUnusable, "listener", r.opts.Name, "error", err)
		return now
	}
	r.opts.Logger.Log(event.CertificatesReloaded, "listener", r.opts.Name)
	return fileStates{}
}

func (r *Reloader) stat() fileStates {
	var states fileStates
	for i, name := range []string{r.opts.CertFile, r.opts.KeyFile, r.opts.ClientCAFile} {
		if info, err := os.Stat(name); err == nil {
			states[i].modified = info.ModTime()
			states[i].size = info.Size()
		}
	}
	return states
}

func (r *Reloader) material() material {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.current
}

// ServerConfig returns the configuration of a listener. Each handshake uses
// the current files; connections that stand keep what they began with.
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

// ClientConfig returns the configuration for connections to other instances:
// it shows the own certificate and accepts servers of the same CA. Instances
// are known by IP numbers that change with every replacement, so that the name
// in the certificate says nothing; the CA must be one that signs instances
// only.
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
		// The library's own check insists on a name and on a fixed CA pool;
		// VerifyConnection below checks the chain against the current pool.
		InsecureSkipVerify: true, //nolint:gosec // replaced by VerifyConnection
		VerifyConnection:   r.verifyServer,
	}, nil
}

// verifyServer checks the chain of the other end. It also runs for resumed
// sessions, so that a withdrawn CA holds for them too.
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
