package config

import (
	"strings"
	"testing"
	"time"
)

const plainRequests = minimal + "[ingress]\nlisten = \"127.0.0.1:8000\"\nreadiness = \"127.0.0.1:8001\"\n"

func TestIngressSettings(t *testing.T) {
	cfg, err := Parse([]byte(plainRequests + "grace = \"3s\"\nretry_ratio = 0.25\nfail_closed = true\n"))
	i := cfg.Ingress
	if err != nil || !i.Enabled() || i.Grace.Duration != 3*time.Second || i.RetryRatio != 0.25 || !i.FailClosed || i.OutOfTouchAfter != Default().Ingress.OutOfTouchAfter {
		t.Errorf("%v, %+v", err, i)
	}
	tests := []struct{ name, replace, by, want string }{
		{"no id", `id = "i1"`, "", "instance.id"},
		{"no place", `place = "lac-a"`, "", "instance.place"},
		{"no peer listener", `peer = "127.0.0.1:0"`, "", "listen.peer"},
		{"no platform", `endpoints = ["http://127.0.0.1:9000"]`, "", "platform.endpoints"},
		{"host name", "127.0.0.1:8000", "localhost:8000", "ingress.listen"},
		{"every address", "127.0.0.1:8000", "0.0.0.0:8000", "ingress.listen"},
		{"no readiness", `readiness = "127.0.0.1:8001"`, "", "ingress.readiness"},
		{"host name of metrics", "[ingress]", "[ingress]\nmetrics = \"localhost:1\"", "ingress.metrics"},
		{"negative memory", "[ingress]", "[ingress]\nmemory_mb = -1", "ingress.memory_mb"},
		{"negative descriptors", "[ingress]", "[ingress]\ndescriptors = -1", "ingress.descriptors"},
		{"negative ratio", "[ingress]", "[ingress]\nretry_ratio = -1.0", "ingress.retry_ratio"},
		{"no time to stop", "[ingress]", "[ingress]\ngrace = \"0s\"", "ingress.grace"},
		{"no unit", "[ingress]", "[ingress]\ntouch = 3", "ingress.touch"},
		{"a change at once", "[ingress]", "[ingress]\napply = \"500ms\"", "ingress.apply"},
		{"negative window", "[ingress]", "[ingress]\nretry_window = \"-1s\"", "ingress.retry_window"},
		{"a key of earlier versions", "[ingress]", "[ingress]\ndrain = \"1s\"", "unknown key ingress.drain"},
		{"unknown key", "[ingress]", "[ingress]\nlisten_to = 1", "unknown key ingress.listen_to"},
	}
	for _, tt := range tests {
		_, err := Parse([]byte(strings.Replace(plainRequests, tt.replace, tt.by, 1)))
		if err == nil || !strings.Contains(err.Error(), tt.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one with %q", tt.name, err, tt.want)
		}
	}
}

func TestDifferencesNameTheKeys(t *testing.T) {
	a, b := Default(), Default()
	b.Instance.Zone, b.Peers.Seeds, b.Ingress.OutOfTouchAfter, b.Ingress.FailClosed = "p", []string{"127.0.0.1:1"}, DurationOf(time.Minute), true
	got := strings.Join(Differences(a, b), " ")
	if want := "instance.place peers.seeds ingress.touch ingress.fail_closed"; got != want || len(Differences(b, b)) != 0 {
		t.Errorf("%q, want %q", got, want)
	}
}
