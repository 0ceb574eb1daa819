package config

import (
	"strings"
	"testing"
	"time"
)

const plainRequests = `
[instance]
id = "i1"
place = "z"
region = "r"
[listen]
peer = "127.0.0.1:0"
[platform]
endpoints = ["http://127.0.0.1:9000"]
[ingress]
listen = "127.0.0.1:8000"
readiness = "127.0.0.1:8001"
`

func TestIngressSettings(t *testing.T) {
	cfg, err := Parse([]byte(plainRequests + "grace = \"3s\"\nretry_ratio = 0.25\nfail_closed = true\n"))
	if err != nil {
		t.Fatal(err)
	}
	i := cfg.Ingress
	if !i.Enabled() || i.Grace.Duration != 3*time.Second || i.RetryRatio != 0.25 || !i.FailClosed || i.Drain != Default().Ingress.Drain {
		t.Errorf("%+v", i)
	}
	if Default().Ingress.Enabled() {
		t.Error("plain requests are served though no address is set")
	}
}

func TestIngressFaults(t *testing.T) {
	tests := []struct{ name, replace, by, want string }{
		{"no id", `id = "i1"`, "", "instance.id"},
		{"no place", `place = "z"`, "", "instance.place"},
		{"no peer listener", `peer = "127.0.0.1:0"`, "", "listen.peer"},
		{"no platform", `endpoints = ["http://127.0.0.1:9000"]`, "", "platform.endpoints"},
		{"name for number", "127.0.0.1:8000", "localhost:8000", "ingress.listen"},
		{"every address", "127.0.0.1:8000", "0.0.0.0:8000", "ingress.listen"},
		{"no readiness", `readiness = "127.0.0.1:8001"`, "", "ingress.readiness"},
		{"negative ratio", "[ingress]", "[ingress]\nretry_ratio = -1.0", "ingress.retry_ratio"},
		{"no time to stop", "[ingress]", "[ingress]\ngrace = \"0s\"", "ingress.grace"},
		{"no unit", "[ingress]", "[ingress]\ntouch = 3", "ingress.touch"},
		{"negative window", "[ingress]", "[ingress]\nretry_window = \"-1s\"", "ingress.retry_window"},
		{"unknown key", "[ingress]", "[ingress]\nlisten_to = 1", "unknown key ingress.listen_to"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(plainRequests, tt.replace, tt.by, 1)))
			if err == nil || !strings.Contains(err.Error(), tt.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %v, want one with %q", err, tt.want)
			}
		})
	}
}
