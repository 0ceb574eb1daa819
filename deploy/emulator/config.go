package emulator

import (
	"slices"
	"strings"
)

// Config is config/main, as the operator writes it.
type Config struct {
	Version  int             `json:"version"`
	Routes   []Route         `json:"routes"`
	Services []ServiceConfig `json:"services"`
	Limits   Limits          `json:"limits"`
	Tenants  []Tenant        `json:"tenants,omitempty"`
}

// Kinds of routes.
const (
	Idempotent    = "idempotent"
	NonIdempotent = "non_idempotent"
	Streaming     = "streaming"
)

// Route of a configuration; times in ms.
type Route struct {
	Name             string  `json:"name"`
	Host             string  `json:"host"`
	PathPrefix       string  `json:"path_prefix"`
	Kind             string  `json:"kind"`
	TimeoutMs        int     `json:"timeout_ms"`
	TargetLatencyMs  int     `json:"target_latency_ms"`
	Priority         int     `json:"priority"`
	Service          string  `json:"service,omitempty"`
	TrafficSplit     []Split `json:"traffic_split,omitempty"`
	MaxAttempts      int     `json:"max_attempts"`
	Stages           []Stage `json:"stages,omitempty"`
	AnonymousAccess  bool    `json:"anonymous_access"`
	SessionAffinity  bool    `json:"session_affinity"`
	StreamResumption bool    `json:"stream_resumption"`
	EventGapMs       int     `json:"event_gap_ms,omitempty"`
}

// Split is a share of a route's requests.
type Split struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// ServiceConfig is a service of a configuration.
type ServiceConfig struct {
	Name            string        `json:"name"`
	HealthPath      string        `json:"health_path"`
	ConnectionLimit int           `json:"connection_limit"`
	Protocol        string        `json:"protocol"`
	TLS             bool          `json:"tls"`
	ColdStartS      float64       `json:"cold_start_s"`
	ColdPerS        float64       `json:"cold_per_s"`
	InferenceEngine *EngineConfig `json:"inference_engine,omitempty"`
	Pieces          *PieceConfig  `json:"pieces,omitempty"`
}

// EngineConfig is what a configuration tells of model servers.
type EngineConfig struct {
	Slots         int         `json:"slots"`
	KVCacheTokens int         `json:"kv_cache_tokens"`
	Stride        int         `json:"stride"`
	Models        []ModelName `json:"models"`
}

// ModelName names a model.
type ModelName struct {
	Name string `json:"name"`
}

// PieceConfig is what a configuration tells of stage servers.
type PieceConfig struct {
	Slots         int     `json:"slots"`
	Queue         int     `json:"queue"`
	Batch         int     `json:"batch"`
	CallLatencyMs float64 `json:"call_latency_ms"`
	ItemLatencyMs float64 `json:"item_latency_ms"`
	HeadroomMb    float64 `json:"headroom_mb"`
	HandleTTLS    float64 `json:"handle_ttl_s"`
	LinkMbps      float64 `json:"link_mbps"`
}

// Limits of what a client may send.
type Limits struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMs int `json:"header_timeout_ms"`
	IdleTimeoutMs   int `json:"idle_timeout_ms"`
}

// Tenant is an organisation with its keys.
type Tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"api_keys"`
	Priority *int     `json:"priority,omitempty"`
}

// Route returns the route of a request: of those of the host, the longest
// prefix that begins the path. Nil if there is none.
func (c Config) Route(host, path string) *Route {
	var best *Route
	for i, r := range c.Routes {
		if r.Host == host && strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = &c.Routes[i]
		}
	}
	return best
}

// TenantOf returns the name of the tenant that holds a key, or "".
func (c Config) TenantOf(key string) string {
	for _, tenant := range c.Tenants {
		if slices.Contains(tenant.APIKeys, key) {
			return tenant.Name
		}
	}
	return ""
}

// stagesIn returns the stages of a request's route, by the newest of the
// configurations that has the route.
func stagesIn(configs []Config, host, path string) []Stage {
	for _, config := range slices.Backward(configs) {
		if route := config.Route(host, path); route != nil {
			return append([]Stage{}, route.Stages...)
		}
	}
	return nil
}

// pathOf cuts the query off.
func pathOf(path string) string {
	path, _, _ = strings.Cut(path, "?")
	return path
}
