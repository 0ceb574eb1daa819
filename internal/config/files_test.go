package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestFilesThatCannotBeUsedAreNamedByKey(t *testing.T) {
	damaged := filepath.Join(t.TempDir(), "damaged")
	if err := os.WriteFile(damaged, []byte("x = 1"), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		key  string
		set  func(c *Config, path string)
		both bool // a damaged file is rejected too, not only a missing one
	}{
		{"platform.token_file", func(c *Config, path string) { c.Platform.TokenFile = path }, false},
		{"platform.ca_file", func(c *Config, path string) { c.Platform.CAFile = path }, true},
		{"tokens.file", func(c *Config, path string) { c.Tokens.File = path }, true},
		{"tls.admin.cert_file", func(c *Config, path string) { c.TLS.Admin = TLSFiles{CertFile: path, KeyFile: path} }, true},
	}
	for _, tt := range tests {
		for _, path := range []string{"/nonexistent", damaged} {
			var c Config
			tt.set(&c, path)
			err := c.CheckFiles()
			if wanted := tt.both || path != damaged; wanted != (err != nil) {
				t.Errorf("%s = %s: %v", tt.key, path, err)
			}
			if err != nil && (!strings.HasPrefix(err.Error(), tt.key+": ") || strings.Contains(err.Error(), "\n")) {
				t.Errorf("%s = %s: %q", tt.key, path, err)
			}
		}
	}
}
