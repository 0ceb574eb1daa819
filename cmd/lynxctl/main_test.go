package main

import (
	"bytes"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/zeromicro/go-zero/core/logx"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

const exampleFile = "../../examples/profiles/mediaplace/creative-check.toml"

func TestMain(m *testing.M) {
	logx.Disable() // as main does
	os.Exit(m.Run())
}

func TestSetDeclaresANewProfile(t *testing.T) {
	f := newFakeAdmin(t)
	got := lynxctl(t, f.server.URL, "", "profile", "set", exampleFile)
	got.want(t, exitOK, "version 13: accepted", "~ priority: 5 -> 7", "in force at 2 of 3 instances; missing: lh-2")
	if f.change.IfVersion != 0 || f.change.ChangeID == "" || f.change.WaitMS != 5000 || f.change.Profile.Name != "creative-check" {
		t.Fatalf("%+v", f.change)
	}
}

// Symptom: a change of a colleague was gone. Events: two operators declared the
// same profile; the second had not seen the first's version. Cause: without a
// version the second replaced whatever was there.
func TestSetDoesNotReplaceAVersionThatNobodyLookedAt(t *testing.T) {
	f := newFakeAdmin(t)
	f.inForce(12)
	lynxctl(t, f.server.URL, "", "profile", "set", exampleFile).want(t, exitUsage, "--if-version 12", "--force-latest")
	if f.count() != 1 {
		t.Fatalf("requests %v", f.requests)
	}
	lynxctl(t, f.server.URL, "", "profile", "set", exampleFile, "--force-latest").want(t, exitOK)
	if f.change.IfVersion != 12 {
		t.Fatalf("--force-latest sent version %d", f.change.IfVersion)
	}
	lynxctl(t, f.server.URL, "", "profile", "set", exampleFile, "--if-version", "11").want(t, exitOK)
	if f.change.IfVersion != 11 {
		t.Fatalf("--if-version sent version %d", f.change.IfVersion)
	}
}

func TestFilesAreCheckedBeforeAnythingIsSent(t *testing.T) {
	f := newFakeAdmin(t)
	cases := map[string]struct{ text, want string }{
		"unknown key":  {"name = \"x\"\ncolour = 3\n", "line 2: colour: unknown key"},
		"wrong unit":   {"name = \"x\"\ndeadline = \"3 hours\"\n", "deadline"},
		"broken rules": {"name = \"x\"\npriority = 12\n", "priority: is 12"},
		"no TOML":      {"{\"name\": 1}", "line 1"},
		"empty":        {"", "stages: needs at least one stage"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			lynxctl(t, f.server.URL, c.text, "profile", "set", "-").want(t, exitUsage, c.want)
		})
	}
	lynxctl(t, f.server.URL, "", "profile", "set", "no-such-file.toml").want(t, exitUsage, "no-such-file.toml")
	if f.count() != 0 {
		t.Fatalf("sent %v", f.requests)
	}
}

func TestExitStatuses(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := listener.Addr().String()
	listener.Close()
	set := []string{"profile", "set", exampleFile, "--if-version", "3"}
	cases := []struct {
		name   string
		prime  func(*fakeAdmin)
		server string
		args   []string
		status int
		want   string
	}{
		{"refused", func(f *fakeAdmin) { f.failWith = errkind.Forbidden }, "", set, exitRefused, "kind forbidden, run state not_run"},
		{"invalid for the server", func(f *fakeAdmin) { f.failWith = errkind.ProfileInvalid }, "", set, exitRefused, "profile_invalid"},
		{"conflict", func(f *fakeAdmin) { f.failWith = errkind.Conflict }, "", set, exitConflict, "said no"},
		{"rejected", func(f *fakeAdmin) { f.state = lynxapi.ChangeRejected }, "", set, exitConflict, "rejected"},
		{"not confirmed", func(f *fakeAdmin) { f.state = lynxapi.ChangeUnknown }, "", set, exitUnknown, "ask again: lynxctl change"},
		{"not everywhere", func(f *fakeAdmin) { f.state = lynxapi.ChangeWritten }, "", append(set, "--wait", "1ms"), exitPending, "not in force everywhere"},
		{"everywhere a little later", func(f *fakeAdmin) { f.state, f.settled = lynxapi.ChangeWritten, lynxapi.ChangeAccepted }, "", set, exitOK, "accepted"},
		{"reply lost, then found", func(f *fakeAdmin) { f.cut, f.settled = true, lynxapi.ChangeAccepted }, "", set, exitOK, "accepted"},
		{"unreachable", nil, closed, set, exitUnreachable, "connection refused"},
		{"no such command", nil, "", []string{"profil"}, exitUsage, "--help"},
		{"no such flag", nil, "", []string{"status", "--what"}, exitUsage, "unknown flag"},
		{"no argument", nil, "", []string{"profile", "set"}, exitUsage, "lynxctl profile set --help"},
		{"no limit given", nil, "", []string{"limit", "set", "agency-1"}, exitUsage, "--rate"},
		{"negative limit", nil, "", []string{"limit", "set", "agency-1", "--rate=-1"}, exitUsage, "negative"},
		{"negative window", nil, "", []string{"report", "burn", "--window=-1m"}, exitUsage, "negative"},
		{"bad subject", nil, "", []string{"drain", "lac-a"}, exitUsage, "place/NAME"},
		{"unknown profile", nil, "", []string{"profile", "get", "nobody"}, exitRefused, "not_found"},
		{"unknown place", nil, "", []string{"drain", "place/nowhere"}, exitRefused, "not_found"},
		{"help", nil, "", []string{"--help"}, exitOK, "Exit status"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFakeAdmin(t)
			if c.prime != nil {
				c.prime(f)
			}
			server := f.server.URL
			if c.server != "" {
				server = c.server
			}
			lynxctl(t, server, "", c.args...).want(t, c.status, c.want)
		})
	}
}

func TestNextServerIsTriedWhenOneIsUnreachable(t *testing.T) {
	f := newFakeAdmin(t)
	lynxctl(t, "127.0.0.1:1,"+f.server.URL, "", "status").want(t, exitOK, "3 alive of 3 known")
}

func TestTabCompletion(t *testing.T) {
	t.Setenv("COMP_LINE", "lynxctl profile ro")
	var out, errOut bytes.Buffer
	if status := run(nil, nil, &out, &errOut); status != exitOK || strings.TrimSpace(out.String()) != "rollback" {
		t.Fatalf("%d %q %q", status, out.String(), errOut.String())
	}
}

func TestWrongTokenIsRefused(t *testing.T) {
	f := newFakeAdmin(t)
	var out, errOut bytes.Buffer
	status := run([]string{"--server", f.server.URL, "--token", "wrong", "status"}, nil, &out, &errOut)
	if status != exitRefused || strings.Contains(errOut.String(), "wrong") {
		t.Fatalf("%d %s", status, errOut.String())
	}
}

func TestTokenFile(t *testing.T) {
	f := newFakeAdmin(t)
	file := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(file, []byte("secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errOut bytes.Buffer
	if status := run([]string{"--server", f.server.URL, "--token-file", file, "status"}, nil, &out, &errOut); status != exitOK {
		t.Fatalf("%d %s", status, errOut.String())
	}
}

func TestGetPrintsAFileThatSetTakesBack(t *testing.T) {
	f := newFakeAdmin(t)
	f.inForce(12)
	got := lynxctl(t, f.server.URL, "", "profile", "get", "creative-check")
	got.want(t, exitOK, "# version 12")
	p, err := profile.Parse([]byte(got.out))
	if err != nil || len(profile.Diff(p, f.view.Profile)) != 0 {
		t.Fatalf("%v %v", err, profile.Diff(p, f.view.Profile))
	}
}

func TestReadingCommands(t *testing.T) {
	f := newFakeAdmin(t)
	f.inForce(12)
	for line, want := range map[string]string{
		"profile list":                                   "embed > rules > rank-rules > verdict",
		"profile diff " + exampleFile:                    "~ priority: 5 -> 7",
		"profile diff creative-check":                    "~ priority: 5 -> 7",
		"profile check " + exampleFile:                   "4 stages, deadline 4s",
		"instances":                                      "lh-1",
		"targets --service encoders":                     "t-1",
		"status":                                         "ready       yes",
		"drains":                                         "place/lac-a",
		"limit list":                                     "agency-1",
		"report burn":                                    "1 of 1 profile missed the objective.",
		"report burn --format json":                      `"scope": "profile"`,
		"report burn --window 10m --format json":         `"window_s": 600`,
		"drain place/lac-a":                              "draining place/lac-a",
		"drain --force place/soon":                       "draining place/soon",
		"undrain place/lac-a":                            "no longer draining",
		"limit set agency-1 --rate 7":                    "agency-1: 7 requests a second, 9 at once",
		"completion -c bash":                             "complete -o default",
		"profile rollback creative-check --force-latest": "accepted",
		"profile delete creative-check --if-version 12":  "accepted",
	} {
		t.Run(line, func(t *testing.T) {
			lynxctl(t, f.server.URL, "", strings.Fields(line)...).want(t, exitOK, want)
		})
	}
	if got := lynxctl(t, f.server.URL, "", "targets", "--service", "encoders"); strings.Contains(got.out, "t-2") {
		t.Fatalf("not filtered: %s", got.out)
	}
}

func TestJSONOutput(t *testing.T) {
	f := newFakeAdmin(t)
	f.inForce(12)
	for _, line := range []string{"profile list", "profile get creative-check", "profile diff creative-check", "instances", "targets",
		"status", "drains", "limit list", "plan list", "report burn", "profile set --force-latest " + exampleFile} {
		got := lynxctl(t, f.server.URL, "", append([]string{"--output", "json"}, strings.Fields(line)...)...)
		if got.status != exitOK || !json.Valid([]byte(got.out)) {
			t.Errorf("%s: status %d, %s%s", line, got.status, got.out, got.err)
		}
	}
	f.failWith = errkind.Conflict
	got := lynxctl(t, f.server.URL, "", "--output", "json", "profile", "set", exampleFile, "--force-latest")
	var told failure
	if err := json.Unmarshal([]byte(got.err), &told); err != nil || told.Kind != "conflict" || told.ExitStatus != exitConflict {
		t.Fatalf("%v %s", err, got.err)
	}
}

func TestPlanFile(t *testing.T) {
	f := newFakeAdmin(t)
	good := "service = \"lynx-pool\"\n[[models]]\nmodel = \"lynx-large\"\nversion = \"2\"\nmin = 2\n"
	lynxctl(t, f.server.URL, good, "plan", "set", "-").want(t, exitOK, "lynx-pool: 1 models, 0 roles")
	roles := good + "[[roles]]\nrole = \"prefill\"\nengines = 3\n"
	lynxctl(t, f.server.URL, roles, "plan", "set", "-").want(t, exitOK, "1 models, 1 roles")
	lynxctl(t, f.server.URL, "", "plan", "list").want(t, exitOK, "lynx-pool  prefill  3")
	lynxctl(t, f.server.URL, good+"[[roles]]\nengines = 3\n", "plan", "set", "-").want(t, exitUsage, "roles[0]")
	lynxctl(t, f.server.URL, good+"max = 1\n", "plan", "set", "-").want(t, exitUsage, "min 2 and max 1")
	lynxctl(t, f.server.URL, "service = \"x\"\nmodel = 1\n", "plan", "set", "-").want(t, exitUsage)
}

func TestReportIsWrittenToAFile(t *testing.T) {
	f := newFakeAdmin(t)
	file := filepath.Join(t.TempDir(), "burn.html")
	lynxctl(t, f.server.URL, "", "report", "burn", "--format", "html", "-o", file).want(t, exitOK)
	page, err := os.ReadFile(file)
	if err != nil || !bytes.Contains(page, []byte("creative-check")) {
		t.Fatalf("%v %s", err, page)
	}
}
