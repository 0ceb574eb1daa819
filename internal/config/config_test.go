package config

import (
	"strings"
	"testing"
	"time"
)

const minimal = `
[instance]
id = "i1"
place = "lac-a"
region = "tunis"
[listen]
caller = "127.0.0.1:0"
admin = "127.0.0.1:0"
peer = "127.0.0.1:0"
[platform]
endpoints = ["http://127.0.0.1:9000"]
`

func TestDefaultsCompleteAMinimalFile(t *testing.T) {
	cfg, err := Parse([]byte(minimal + "[timings]\nkeep = \"7s\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Timings.AddressTTL.Duration != 7*time.Second || cfg.Timings.Heartbeat != Default().Timings.Heartbeat {
		t.Fatalf("timings %+v", cfg.Timings)
	}
}

func TestErrorsAreOneLineWithTheKey(t *testing.T) {
	hash := strings.Repeat("ab", 32)
	tests := []struct{ name, replace, by, want string }{
		{"unknown key", "place =", "plaice = 1\nplace =", "unknown key instance.plaice"},
		{"no id", `id = "i1"`, "", "instance.id: is missing"},
		{"unknown table", "[platform]", "[moon]\nx = 1\n[platform]", "unknown key moon"},
		{"missing place", `place = "lac-a"`, "", "instance.place: is missing"},
		{"host name", `caller = "127.0.0.1:0"`, `caller = "localhost:80"`, "listen.caller"},
		{"no port", `admin = "127.0.0.1:0"`, `admin = "127.0.0.1"`, "listen.admin"},
		{"every address", `peer = "127.0.0.1:0"`, `peer = "0.0.0.0:1"`, "listen.advertise_peer: is missing"},
		{"platform by name", "http://127.0.0.1:9000", "http://platform:9000", "platform.endpoints[0]"},
		{"no unit", "[platform]", "[timings]\nkeep = 5\n[platform]", "timings.keep"},
		{"wrong unit", "[platform]", "[timings]\nkeep = \"5 parsecs\"\n[platform]", "timings.keep"},
		{"out of range", "[platform]", "[claims]\nwindow_kb = 5000\n[platform]", "claims.window_kb"},
		{"no write budget", "[platform]", "[platform]\nwrites_per_second = 0", "platform.writes_per_second"},
		{"half of TLS", "[platform]", "[tls.admin]\ncert_file = \"c\"\n[platform]", "tls.admin.key_file"},
		{"peer CA", "[platform]", "[tls.peer]\ncert_file = \"c\"\nkey_file = \"k\"\n[platform]", "tls.peer.client_ca_file"},
		{"token in clear", "[platform]", "[[tokens.caller]]\nhash = \"secret\"\norganisation = \"o\"\n[platform]", "tokens.caller[0].hash"},
		{"role", "[platform]", "[[tokens.operator]]\nhash = \"" + hash + "\"\nname = \"n\"\nrole = \"king\"\n[platform]", "tokens.operator[0].role"},
		{"log level", "[platform]", "[log]\nlevel = \"loud\"\n[platform]", "log.level"},
		{"syntax", "[platform]", "[platform", "line"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(minimal, tt.replace, tt.by, 1)))
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Fatalf("error %v, want one with %q", err, tt.want)
			}
			if strings.Contains(err.Error(), "\n") || strings.Contains(err.Error(), "secret") {
				t.Fatalf("error has several lines or quotes a token: %q", err)
			}
		})
	}
}

func TestTheIDIsMadeOfTheZoneAndTheAddressThatCallersKnow(t *testing.T) {
	noID := strings.Replace(minimal, `id = "i1"`, "", 1)
	tests := []struct{ caller, want string }{
		{"caller = \"10.0.0.1:70\"", "lac-a/10.0.0.1:70"},
		{"caller = \"0.0.0.0:70\"\nadvertise_caller = \"10.0.0.2:71\"", "lac-a/10.0.0.2:71"},
	}
	for _, tt := range tests {
		cfg, err := Parse([]byte(strings.Replace(noID, `caller = "127.0.0.1:0"`, tt.caller, 1)))
		if err != nil || cfg.Instance.ID != tt.want {
			t.Errorf("%s: %q, %v", tt.caller, cfg.Instance.ID, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte(minimal + "[timings]\nkeep = 5\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		cfg, err := Parse(raw)
		if err != nil {
			if strings.Contains(err.Error(), "\n") {
				t.Fatalf("error of several lines: %q", err)
			}
			return
		}
		if err := cfg.Validate(); err != nil || cfg.Instance.Zone == "" {
			t.Fatalf("accepted settings are not valid: %v", err)
		}
	})
}
