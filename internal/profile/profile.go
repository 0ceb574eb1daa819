// Package profile defines what operators declare: a named, typed pipeline of stages
// with its deadline, priority and providers. It also has its TOML form, its
// validation, and the difference between two versions of it.
package profile

import "time"

// Kind is the kind of work of a stage.
type Kind string

// Stage kinds.
const (
	KindEncode   Kind = "encode"
	KindRetrieve Kind = "retrieve"
	KindRerank   Kind = "rerank"
	KindGenerate Kind = "generate"
	KindService  Kind = "service"
)

// Profile is one declared pipeline.
type Profile struct {
	Name       string        `toml:"name" json:"name"`
	Priority   int           `toml:"priority" json:"priority"` // 0 (lowest) to 9
	Deadline   time.Duration `toml:"deadline" json:"deadline"` // used when the caller sets none, and the longest that a caller may set
	Objective  float64       `toml:"objective" json:"objective"`
	Stages     []Stage       `toml:"stages" json:"stages"`
	MaxInputKB int           `toml:"max_input_kb" json:"max_input_kb"`
}

// Stage is one step of a pipeline. Its input is the caller's input and the
// output of the stage before it.
type Stage struct {
	Name       string  `toml:"name" json:"name"`
	Kind       Kind    `toml:"kind" json:"kind"`
	Idempotent bool    `toml:"idempotent" json:"idempotent"`
	Share      float64 `toml:"share" json:"share"` // share of the deadline, used as a hint until quantiles are measured; 0 = an even share
	MaxTokens  int     `toml:"max_tokens" json:"max_tokens,omitempty"`
	// Providers run the stage, each with a weight; the weights need not add up to
	// any particular sum. There must be at least one.
	Providers []Provider `toml:"providers" json:"providers"`
}

// Provider is one way to run a stage: a service, and for model stages the model,
// version and adapter.
type Provider struct {
	Name    string  `toml:"name" json:"name"`
	Service string  `toml:"service" json:"service"`
	Model   string  `toml:"model" json:"model,omitempty"`
	Version string  `toml:"version" json:"version,omitempty"`
	Adapter string  `toml:"adapter" json:"adapter,omitempty"`
	Weight  float64 `toml:"weight" json:"weight"`
}

// Stored is the form in which a profile is kept in the platform's store: the
// profile with the id of the change that wrote it. The object's version in the
// store is the profile's version.
type Stored struct {
	Profile  Profile   `json:"profile"`
	ChangeID string    `json:"change_id"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	Deleted  bool      `json:"deleted,omitempty"`
	// Previous holds the versions before this one, newest first, for rollback.
	Previous []Profile `json:"previous,omitempty"`
	// Changes holds the changes before this one, newest first, so that a repeated
	// change is recognised even after other changes followed it.
	Changes []PastChange `json:"changes,omitempty"`
}

// PastChange is an earlier change of a profile.
type PastChange struct {
	ID       string    `json:"id"`
	Version  uint64    `json:"version"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
}

// Versioned is a profile in force, with its version in the store.
type Versioned struct {
	Version  uint64
	ChangeID string
	Deleted  bool
	Profile  Profile
}

// KeyPrefix is the prefix of the profiles' keys in the store; the name follows.
const KeyPrefix = "profiles/"
