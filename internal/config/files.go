package config

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"

	"lynxhill.example/lynxhill/internal/auth"
)

// CheckFiles reads the files that the settings name and checks their content. The error
// names the key.
func (c *Config) CheckFiles() error {
	if err := readable("platform.token_file", c.Platform.TokenFile); err != nil {
		return err
	}
	if err := checkCA("platform.ca_file", c.Platform.CAFile); err != nil {
		return err
	}
	if _, err := auth.New(auth.Options{Tokens: c.Tokens.Set(), File: c.Tokens.File}); err != nil {
		return settingError("tokens.file", "%s", oneLine(err.Error()))
	}
	for _, l := range c.TLS.listeners() {
		if err := l.files.check(l.key); err != nil {
			return err
		}
	}
	return nil
}

func (f TLSFiles) check(key string) error {
	if !f.Enabled() {
		return nil
	}
	if _, err := tls.LoadX509KeyPair(f.CertFile, f.KeyFile); err != nil {
		return settingError(key+".cert_file", "with key_file: %s", oneLine(err.Error()))
	}
	return checkCA(key+".client_ca_file", f.ClientCAFile)
}

func checkCA(key, path string) error {
	if err := readable(key, path); err != nil || path == "" {
		return err
	}
	pem, err := os.ReadFile(path)
	if err == nil && !x509.NewCertPool().AppendCertsFromPEM(pem) {
		err = errors.New("contains no certificate")
	}
	if err != nil {
		return settingError(key, "%s", err)
	}
	return nil
}

func readable(key, path string) error {
	if path == "" {
		return nil
	}
	if _, err := os.ReadFile(path); err != nil {
		return settingError(key, "%s", err)
	}
	return nil
}
