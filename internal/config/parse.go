package config

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Load reads and validates the settings in the file and fills in defaults. The error is
// a single line that names the key.
func Load(path string) (Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, err
	}
	cfg, err := Parse(raw)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	return cfg, nil
}

// Parse reads and validates settings in TOML and fills in defaults.
func Parse(raw []byte) (Config, error) {
	cfg := Default()
	decoder := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := decoder.Decode(&cfg); err != nil {
		return Config{}, describe(err)
	}
	if err := cfg.Validate(); err != nil {
		return Config{}, err
	}
	cfg.complete()
	return cfg, nil
}

// complete fills in the default of instance.id, which is derived from other settings.
func (c *Config) complete() {
	if c.Instance.ID == "" {
		c.Instance.ID = c.Instance.Zone + "/" + c.Listen.callerAddress()
	}
}

// callerAddress returns the address to which callers connect.
func (l Listen) callerAddress() string {
	if l.AdvertiseCaller != "" {
		return l.AdvertiseCaller
	}
	return l.Caller
}

// describe converts the library's errors, some of which have several lines, to a single
// line with the key and the line number in the file.
func describe(err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := &unknown.Errors[0]
		row, _ := first.Position()
		return fmt.Errorf("line %d: unknown key %s", row, strings.Join(first.Key(), "."))
	}
	var fault *toml.DecodeError
	if errors.As(err, &fault) {
		row, _ := fault.Position()
		return fmt.Errorf("line %d: %s%s", row, keyPrefix(fault.Key()), oneLine(fault.Error()))
	}
	return errors.New(oneLine(err.Error()))
}

func keyPrefix(key toml.Key) string {
	if len(key) == 0 {
		return ""
	}
	return strings.Join(key, ".") + ": "
}

func oneLine(s string) string {
	s = strings.TrimPrefix(s, "toml: ")
	return strings.Join(strings.Fields(s), " ")
}
