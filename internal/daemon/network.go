package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"

	"lynxhill.example/lynxhill/internal/config"
	"lynxhill.example/lynxhill/internal/storeclient"
	"lynxhill.example/lynxhill/internal/tlsconf"
)

// listeners are opened by New, so that an address already in use is reported before
// anything runs, and the port chosen for port 0 is known before it is announced.
type listeners struct {
	caller, admin, peer net.Listener
}

func (l *listeners) close() {
	if l == nil {
		return
	}
	for _, listener := range []net.Listener{l.caller, l.admin, l.peer} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func (d *Daemon) openListeners() (*listeners, error) {
	open := &listeners{}
	for _, l := range []struct {
		key, addr string
		to        *net.Listener
	}{
		{"listen.caller", d.cfg.Listen.Caller, &open.caller},
		{"listen.admin", d.cfg.Listen.Admin, &open.admin},
		{"listen.peer", d.cfg.Listen.Peer, &open.peer},
	} {
		listener, err := d.opts.Listen(l.addr)
		if err != nil {
			open.close()
			return nil, fmt.Errorf("%s: %w", l.key, err)
		}
		*l.to = listener
	}
	return open, nil
}

// tlsParts holds the certificate reloaders of the listeners; a listener with a nil
// reloader speaks plain HTTP.
type tlsParts struct {
	caller, admin, peer *tlsconf.Reloader
}

func (d *Daemon) newTLS() (tlsParts, error) {
	var parts tlsParts
	for _, p := range []struct {
		name  string
		files config.TLSFiles
		to    **tlsconf.Reloader
	}{
		{"caller", d.cfg.TLS.Caller, &parts.caller},
		{"admin", d.cfg.TLS.Admin, &parts.admin},
		{"peer", d.cfg.TLS.Peer, &parts.peer},
	} {
		if !p.files.Enabled() {
			continue
		}
		reloader, err := tlsconf.New(tlsconf.Options{
			Name: p.name, CertFile: p.files.CertFile, KeyFile: p.files.KeyFile, ClientCAFile: p.files.ClientCAFile,
			PollEvery: d.cfg.Timings.FileCheck.Duration, Clock: d.opts.Clock, Logger: d.logger,
		})
		if err != nil {
			return parts, fmt.Errorf("tls.%s: %w", p.name, err)
		}
		*p.to = reloader
	}
	return parts, nil
}

// serverConfig returns the TLS configuration of a listener, nil for plain HTTP.
func serverConfig(r *tlsconf.Reloader) *tls.Config {
	if r == nil {
		return nil
	}
	return r.ServerConfig()
}

// peerClient returns the TLS configuration of calls to other instances, nil for
// plain HTTP.
func (t tlsParts) peerClient() (*tls.Config, error) {
	if t.peer == nil {
		return nil, nil
	}
	return t.peer.ClientConfig()
}

// run reloads changed files until ctx ends.
func (t tlsParts) run(ctx context.Context) {
	var reloaders sync.WaitGroup
	for _, r := range []*tlsconf.Reloader{t.caller, t.admin, t.peer} {
		if r != nil {
			reloaders.Go(func() { r.Run(ctx) })
		}
	}
	reloaders.Wait()
}

func (d *Daemon) newPlatform() (*storeclient.Client, error) {
	settings := d.cfg.Platform
	if len(settings.Endpoints) == 0 {
		return nil, errNoPlatform
	}
	token, err := readToken(settings.TokenFile)
	if err != nil {
		return nil, fmt.Errorf("platform.token_file: %w", err)
	}
	tlsConfig, err := platformTLS(settings.CAFile)
	if err != nil {
		return nil, fmt.Errorf("platform.ca_file: %w", err)
	}
	return storeclient.New(storeclient.Options{
		Endpoints: settings.Endpoints, Dial: d.opts.Dial, TLS: tlsConfig, Token: token,
		Clock: d.opts.Clock, Seed: d.seeds.Uint64(), Budget: d.fleetBudget().Share(0, 0), Logger: d.logger, Metrics: d.metrics,
	}), nil
}

func readToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	text, err := os.ReadFile(path)
	return strings.TrimSpace(string(text)), err
}

// platformTLS returns a TLS configuration that trusts the CAs in the file. It returns
// nil without a file; https endpoints are then checked against the system's CAs.
func platformTLS(caFile string) (*tls.Config, error) {
	if caFile == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s contains no certificate", caFile)
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}, nil
}
