package auth

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/event"
)

func callerFile(t *testing.T, path, hash, organisation string) {
	t.Helper()
	content := "[[caller]]\nhash = \"" + hash + "\"\norganisation = \"" + organisation + "\"\n"
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestTokensLeadToTheirHolders(t *testing.T) {
	var tokens Tokens
	var texts []string
	for i := range 300 { // enough for several tokens in one group
		token, hash := NewToken()
		texts = append(texts, token)
		tokens.Caller = append(tokens.Caller, CallerToken{Hash: hash, Organisation: string(rune('a' + i))})
	}
	operatorToken, hash := NewToken()
	tokens.Operator = []OperatorToken{{Hash: hash, Name: "amel", Role: RoleViewer}}
	v, err := New(Options{Tokens: tokens})
	if err != nil {
		t.Fatal(err)
	}
	for i, token := range texts {
		if got, err := v.Caller("Bearer " + token); err != nil || got != string(rune('a'+i)) {
			t.Fatalf("token %d belongs to %q, %v", i, got, err)
		}
	}
	if got, err := v.Operator("bearer " + operatorToken); err != nil || got != (Operator{Name: "amel", Role: RoleViewer}) {
		t.Fatalf("%v, %v", got, err)
	}
	if _, err := v.Operator("Bearer " + texts[0]); !errkind.Is(err, errkind.Unauthenticated) {
		t.Fatalf("a caller's token was accepted as an operator's: %v", err)
	}
	if _, err := v.Caller("Bearer " + operatorToken); !errkind.Is(err, errkind.Unauthenticated) {
		t.Fatalf("an operator's token was accepted as a caller's: %v", err)
	}
}

func TestFaultyHeadersAreUnauthenticated(t *testing.T) {
	_, hash := NewToken()
	v, err := New(Options{Tokens: Tokens{Caller: []CallerToken{{Hash: hash, Organisation: "acme"}}}})
	if err != nil {
		t.Fatal(err)
	}
	for _, header := range []string{"", "Bearer", "Bearer ", "Basic x", "Bearer wrong", "Bearer " + hash, hash} {
		if _, err := v.Caller(header); !errkind.Is(err, errkind.Unauthenticated) || strings.Contains(err.Error(), hash) {
			t.Errorf("header %q: %v", header, err)
		}
	}
}

// A token whose hash shares only its first two bytes with a known hash must not be
// accepted.
func TestAHashOfTheSameGroupIsNotEnough(t *testing.T) {
	token, hash := NewToken()
	near := hash[:4] + strings.Repeat("0", len(hash)-4)
	v, err := New(Options{Tokens: Tokens{Caller: []CallerToken{{Hash: near, Organisation: "acme"}}}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := v.Caller("Bearer " + token); !errkind.Is(err, errkind.Unauthenticated) {
		t.Fatalf("error %v", err)
	}
}

// Guards against a new organisation being refused until the instances are restarted,
// and against a partly written file locking all users out. The token file is
// replaced, then damaged, then repaired.
func TestTheTokenFileIsReadAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "tokens.toml")
	first, firstHash := NewToken()
	second, secondHash := NewToken()
	callerFile(t, path, firstHash, "acme")
	synctest.Test(t, func(t *testing.T) {
		var written bytes.Buffer
		v, err := New(Options{File: path, PollEvery: time.Second, Logger: event.NewLogger(log.NewLogfmtLogger(&written))})
		if err != nil {
			t.Fatal(err)
		}
		go v.Run(t.Context())
		pass := func() {
			time.Sleep(1500 * time.Millisecond)
			synctest.Wait()
		}
		knows := func(token string) bool {
			_, err := v.Caller("Bearer " + token)
			return err == nil
		}
		pass()
		if !knows(first) || knows(second) {
			t.Fatal("the file was not read")
		}
		callerFile(t, path, secondHash, "other organisation")
		pass()
		if knows(first) || !knows(second) {
			t.Fatal("the file was not read again")
		}
		if err := os.WriteFile(path, []byte("[[caller]"), 0o600); err != nil {
			t.Fatal(err)
		}
		pass()
		pass()
		if !knows(second) {
			t.Fatal("a damaged file locked all users out")
		}
		if n := strings.Count(written.String(), "tokens_unusable"); n != 1 {
			t.Fatalf("a damaged file was logged %d times: %s", n, &written)
		}
		callerFile(t, path, firstHash, "a third organisation")
		pass()
		if !knows(first) || knows(second) {
			t.Fatal("the repaired file was not read")
		}
		if strings.Contains(written.String(), first) || strings.Contains(written.String(), firstHash) {
			t.Fatalf("the log holds a token: %s", &written)
		}
	})
}

// Guards against requests being attributed to the wrong organisation because one hash
// is in the settings and in the file, or twice in one of them.
func TestAHashThatStandsTwiceIsRefused(t *testing.T) {
	_, hash := NewToken()
	path := filepath.Join(t.TempDir(), "tokens.toml")
	callerFile(t, path, strings.ToUpper(hash), "other")
	inSettings := Tokens{Caller: []CallerToken{{Hash: hash, Organisation: "acme"}}}
	if _, err := New(Options{Tokens: inSettings, File: path}); err == nil {
		t.Error("a hash that is in the settings and in the file was accepted")
	}
	twice := Tokens{Operator: []OperatorToken{{Hash: hash, Name: "a", Role: RoleViewer}, {Hash: hash, Name: "b", Role: RoleOperator}}}
	if _, err := New(Options{Tokens: twice}); err == nil || !strings.Contains(err.Error(), "operator[1].hash") {
		t.Errorf("a duplicate hash of two operators: %v", err)
	}
}

func TestAnUnusableFileIsRefusedAtTheStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "tokens.toml")
	for _, content := range []string{"[[caller]]\nhash = \"plain token\"\norganisation = \"a\"\n", "[[king]]\n", "caller"} {
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := New(Options{File: path}); err == nil || strings.Contains(err.Error(), "plain token") {
			t.Errorf("%q: %v", content, err)
		}
	}
}

func BenchmarkCallerAmong19000(b *testing.B) {
	var tokens Tokens
	token, hash := NewToken()
	tokens.Caller = append(tokens.Caller, CallerToken{Hash: hash, Organisation: "acme"})
	for range 18999 {
		_, hash := NewToken()
		tokens.Caller = append(tokens.Caller, CallerToken{Hash: hash, Organisation: "other"})
	}
	v, err := New(Options{Tokens: tokens})
	if err != nil {
		b.Fatal(err)
	}
	header := "Bearer " + token
	b.ResetTimer()
	for b.Loop() {
		if _, err := v.Caller(header); err != nil {
			b.Fatal(err)
		}
	}
}
