package auth

import (
	"bytes"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Role is what an operator may do.
type Role string

// Roles of operators.
const (
	RoleViewer   Role = "viewer"   // reads everything
	RoleOperator Role = "operator" // reads and changes everything
)

// CallerToken allows its holder to send requests of one organisation.
type CallerToken struct {
	Hash         string `toml:"hash"`
	Organisation string `toml:"organisation"`
}

// OperatorToken allows its holder to use the admin API under a name, which is
// written to the audit events.
type OperatorToken struct {
	Hash string `toml:"hash"`
	Name string `toml:"name"`
	Role Role   `toml:"role"`
}

// Tokens is a set of tokens, as it is written in the settings or in a token file.
type Tokens struct {
	Caller   []CallerToken   `toml:"caller"`
	Operator []OperatorToken `toml:"operator"`
}

// Validate returns an error that names the first invalid entry.
func (t Tokens) Validate() error {
	callers, operators := make(map[string]int), make(map[string]int)
	for i, c := range t.Caller {
		if err := firstError(c.validate(), checkUnique(callers, c.Hash, i)); err != nil {
			return fmt.Errorf("caller[%d].%w", i, err)
		}
	}
	for i, o := range t.Operator {
		if err := firstError(o.validate(), checkUnique(operators, o.Hash, i)); err != nil {
			return fmt.Errorf("operator[%d].%w", i, err)
		}
	}
	return nil
}

// checkUnique refuses a duplicate hash: the token would belong to two organisations
// or names, and it would be arbitrary which one it is attributed to.
func checkUnique(seen map[string]int, hash string, i int) error {
	hash = strings.ToLower(hash)
	if first, twice := seen[hash]; twice {
		return fmt.Errorf("hash: duplicates the hash of entry %d", first)
	}
	seen[hash] = i
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (c CallerToken) validate() error {
	if _, err := parseHash(c.Hash); err != nil {
		return fmt.Errorf("hash: %w", err)
	}
	if c.Organisation == "" {
		return fmt.Errorf("organisation: must not be empty")
	}
	return nil
}

func (o OperatorToken) validate() error {
	if _, err := parseHash(o.Hash); err != nil {
		return fmt.Errorf("hash: %w", err)
	}
	if o.Name == "" {
		return fmt.Errorf("name: must not be empty")
	}
	if o.Role != RoleViewer && o.Role != RoleOperator {
		return fmt.Errorf("role: must be %q or %q", RoleViewer, RoleOperator)
	}
	return nil
}

// ReadFile reads a token file: TOML with tables [[caller]] and [[operator]].
// Its errors never quote the file's content.
func ReadFile(path string) (Tokens, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Tokens{}, err
	}
	var tokens Tokens
	decoder := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := decoder.Decode(&tokens); err != nil {
		return Tokens{}, fmt.Errorf("%s: %w", path, err)
	}
	if err := tokens.Validate(); err != nil {
		return Tokens{}, fmt.Errorf("%s: %w", path, err)
	}
	return tokens, nil
}
