package main

import (
	"bytes"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// fakeCaller is the caller API of one instance.
type fakeCaller struct {
	server *httptest.Server
	got    lynxapi.SendRequest
	refuse errkind.Kind // Internal = none
	cut    bool         // leave the end mark out
}

func newFakeCaller(t *testing.T) *fakeCaller {
	t.Helper()
	f := &fakeCaller{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/address", func(w http.ResponseWriter, r *http.Request) {
		address := lynxapi.Address{ID: "lh-1", Address: r.Host, Zone: "lac-a", Weight: 1}
		reply(w, lynxapi.AddressAnswer{Addresses: []lynxapi.Address{address}, KeepMS: 30000})
	})
	mux.HandleFunc("POST /v1/profiles/{profile}/requests", f.send)
	mux.HandleFunc("GET /v1/requests/{key}", func(w http.ResponseWriter, r *http.Request) {
		reply(w, lynxapi.OutcomeReply{Key: r.PathValue("key"), State: lynxapi.OutcomeUnknown})
	})
	f.server = httptest.NewServer(mux)
	t.Cleanup(f.server.Close)
	return f
}

func (f *fakeCaller) send(w http.ResponseWriter, r *http.Request) {
	if err := json.NewDecoder(r.Body).Decode(&f.got); err != nil {
		refuse(w, errkind.BadRequest)
		return
	}
	if f.refuse != errkind.Internal {
		refuse(w, f.refuse)
		return
	}
	answer := lynxapi.SendReply{Key: f.got.Key, Instance: "lh-1", Profile: r.PathValue("profile")}
	if !f.got.Stream {
		answer.Output = json.RawMessage(`{"verdict":"ok"}`)
		reply(w, answer)
		return
	}
	fmt.Fprint(w, "event: frame\ndata: {\"offset\":0,\"text\":\"two \"}\n\nevent: frame\ndata: {\"offset\":4,\"text\":\"words\"}\n\n")
	if f.cut {
		return
	}
	answer.Streamed, answer.Length = true, len("two words")
	raw, _ := json.Marshal(answer)
	fmt.Fprintf(w, "event: end\ndata: %s\n\n", raw)
}

// asCaller runs a command line with the caller's flags.
func asCaller(t *testing.T, f *fakeCaller, stdin string, args ...string) result {
	t.Helper()
	var out, errOut bytes.Buffer
	args = append([]string{"--caller", strings.TrimPrefix(f.server.URL, "http://"), "--token", "secret"}, args...)
	status := run(args, strings.NewReader(stdin), &out, &errOut)
	return result{status: status, out: out.String(), err: errOut.String()}
}

func TestSendWhole(t *testing.T) {
	f := newFakeCaller(t)
	got := asCaller(t, f, "", "send", "creative-check", "--organisation", "agency-1", "--input", `{"creative":7}`, "--key", "k-1", "--deadline", "2s")
	got.want(t, exitOK, `{"verdict":"ok"}`, "key k-1")
	if f.got.Key != "k-1" || f.got.Organisation != "agency-1" || f.got.DeadlineMS <= 0 || f.got.DeadlineMS > 2000 || string(f.got.Input) != `{"creative":7}` {
		t.Fatalf("%+v", f.got)
	}
}

func TestSendStreams(t *testing.T) {
	f := newFakeCaller(t)
	got := asCaller(t, f, "plain text", "send", "note", "--organisation", "a", "--input-file", "-", "--stream")
	got.want(t, exitOK)
	if got.out != "two words\n" || string(f.got.Input) != `"plain text"` || f.got.Key == "" {
		t.Fatalf("out %q, sent %+v", got.out, f.got)
	}
	got = asCaller(t, f, "", "--output", "json", "send", "note", "--organisation", "a", "--input", "1", "--stream")
	var whole sent
	if err := json.Unmarshal([]byte(got.out), &whole); err != nil || whole.Text != "two words" || whole.Attempts != 1 {
		t.Fatalf("%v in %s", err, got.out)
	}
}

func TestSendExitStatuses(t *testing.T) {
	cases := []struct {
		name   string
		refuse errkind.Kind
		cut    bool
		args   []string
		status int
		want   string
	}{
		{"no input", errkind.Internal, false, nil, exitUsage, "--input"},
		{"two inputs", errkind.Internal, false, []string{"--input", "1", "--input-file", "x"}, exitUsage, "can't be used together"},
		{"no such file", errkind.Internal, false, []string{"--input-file", "no-such-file"}, exitUsage, "no-such-file"},
		{"negative deadline", errkind.Internal, false, []string{"--input", "1", "--deadline", "-1s"}, exitUsage, "--deadline"},
		{"unknown profile", errkind.UnknownProfile, false, []string{"--input", "1"}, exitRefused, "kind unknown_profile, run state not_run, resend never"},
		{"overloaded", errkind.Overloaded, false, []string{"--input", "1", "--no-resend"}, exitRefused, "resend later"},
		{"may have run", errkind.TargetFailed, false, []string{"--input", "1", "--no-resend"}, exitUnknown, "run state may_have_run"},
		{"cut", errkind.Internal, true, []string{"--input", "1", "--stream", "--no-resend"}, exitUnknown, "key "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFakeCaller(t)
			f.refuse, f.cut = c.refuse, c.cut
			args := append([]string{"send", "booking", "--organisation", "a"}, c.args...)
			asCaller(t, f, "", args...).want(t, c.status, c.want)
		})
	}
}

func TestFailedRequestTellsItsKeyInJSON(t *testing.T) {
	f := newFakeCaller(t)
	f.refuse = errkind.TargetFailed
	got := asCaller(t, f, "", "--output", "json", "send", "booking", "--organisation", "a", "--input", "1", "--key", "k-9", "--no-resend")
	var told failure
	if err := json.Unmarshal([]byte(got.err), &told); err != nil || told.Key != "k-9" || told.RunState != errkind.MayHaveRun {
		t.Fatalf("%v in %s", err, got.err)
	}
}

func TestAddressAndOutcome(t *testing.T) {
	f := newFakeCaller(t)
	asCaller(t, f, "", "address", "--place", "lac-a").want(t, exitOK, "lh-1", "keep for 30s")
	asCaller(t, f, "", "outcome", "k-1", "--organisation", "a").want(t, exitOK, "unknown")
	f.server.Close()
	asCaller(t, f, "", "outcome", "k-1", "--organisation", "a").want(t, exitUnreachable)
}

func TestCAFileIsChecked(t *testing.T) {
	f := newFakeCaller(t)
	file := filepath.Join(t.TempDir(), "ca.pem")
	if err := os.WriteFile(file, []byte("no certificate"), 0o600); err != nil {
		t.Fatal(err)
	}
	asCaller(t, f, "", "--ca-file", file, "address").want(t, exitUsage, "no PEM certificate")
}

func TestTLSServerIsCheckedAgainstTheCAFile(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reply(w, lynxapi.Status{Instance: "lh-1"})
	}))
	defer server.Close()
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	file := filepath.Join(t.TempDir(), "ca.pem")
	block := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})
	if err := os.WriteFile(file, block, 0o600); err != nil {
		t.Fatal(err)
	}
	address := strings.TrimPrefix(server.URL, "https://")
	lynxctl(t, address, "", "--ca-file", file, "status").want(t, exitOK, "lh-1")
	lynxctl(t, server.URL, "", "status").want(t, exitUnreachable, "certificate")
}
