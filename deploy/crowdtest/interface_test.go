//go:build linux

package crowdtest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"lynxhill.example/lynxhill/examples/profiles"
	"lynxhill.example/lynxhill/internal/bench"
	"lynxhill.example/lynxhill/internal/client"
	"lynxhill.example/lynxhill/internal/profile"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// ownInterface is an instance that serves the caller API and the admin API.
type ownInterface struct {
	*process
	callers, admin string // addresses
	token          string // of a caller of organisation
	organisation   string
	profile        string // that ordinary requests name
}

var limitsTable = regexp.MustCompile(`(?m)^\[limits\]\n`)

// startOwnInterface starts an instance in front of stand-ins.
func startOwnInterface(t *testing.T) *ownInterface {
	t.Helper()
	standins, err := bench.StartStandins(bench.StandinsOptions{Deployment: "mediaplace", Instances: 1, Dir: t.TempDir(), Control: "127.0.0.1:0", Seed: 74, TimeScale: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(standins.Close)
	instance := standins.Layout.Instances[0]
	text, err := os.ReadFile(instance.Config)
	if err != nil {
		t.Fatal(err)
	}
	own := limitsTable.ReplaceAllString(withoutLimits(string(text)), fmt.Sprintf("[limits]\nmemory_mb = %d\ndescriptors = %d\n", memoryMB, descriptors))
	o := &ownInterface{callers: instance.Caller, admin: instance.Admin}
	for organisation, token := range standins.Layout.CallerTokens {
		o.organisation, o.token = organisation, token
	}
	o.process = startProcess(t, own, o.callers, o.admin)
	eventually(t, "ready", o.ready)
	o.declareProfile(standins.Layout.OperatorToken)
	eventually(t, "an ordinary request is answered", o.answersOrdinary)
	return o
}

// declareProfile declares the profile that ordinary requests name.
func (o *ownInterface) declareProfile(token string) {
	o.Helper()
	list, err := profiles.Load("mediaplace")
	if err != nil {
		o.Fatal(err)
	}
	admin := client.NewAdmin(client.AdminOptions{Servers: []string{o.admin}, Token: token})
	declared := list[slices.IndexFunc(list, func(p profile.Profile) bool { return p.Name == "creative-check" })]
	o.profile = declared.Name
	eventually(o.T, "the profile is in force", func() bool {
		reply, err := admin.SetProfile(context.Background(), lynxapi.ChangeRequest{Profile: declared, ChangeID: client.NewKey(), WaitMS: 5000})
		return err == nil && reply.State == lynxapi.ChangeAccepted
	})
}

// withoutLimits removes the limits of memory and descriptors from settings.
func withoutLimits(settings string) string {
	return regexp.MustCompile(`(?m)^(memory_mb|descriptors) = \d+\n`).ReplaceAllString(settings, "")
}

func (o *ownInterface) ready() bool { return get(o.callers + "/readyz") }

// answersOrdinary sends an ordinary request once and reports whether it is answered.
func (o *ownInterface) answersOrdinary() bool {
	request, err := http.NewRequest(http.MethodPost, "http://"+o.callers+"/v1/profiles/"+o.profile+"/requests", strings.NewReader(fmt.Sprintf(`{"organisation":%q,"input":"x","deadline_ms":4000}`, o.organisation)))
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+o.token)
	response, err := newCaller.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// checkUnder is edge.checkUnder for the own interface.
func (o *ownInterface) checkUnder(crowds ...crowd) {
	o.Helper()
	var all []*runningCrowd
	for _, c := range crowds {
		all = append(all, c.start(o.T))
	}
	time.Sleep(crowdTime)
	check := func(when string) {
		eventually(o.T, "an ordinary request is answered "+when, o.answersOrdinary)
		eventually(o.T, "the admin API answers "+when, func() bool { return get(o.admin + "/livez") })
	}
	check("beside the crowd")
	for _, g := range all {
		g.stop()
	}
	check("after the crowd")
	o.checkBounds()
	for n, g := range all {
		o.Logf("crowd %d: %d connections, answers by status: %v", n, g.dialed.Load(), g.answers)
	}
}

// head returns the beginning of a request to a profile, without the empty line at its end.
func (o *ownInterface) head(fields ...string) string {
	return "POST /v1/profiles/" + o.profile + "/requests HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + o.token + "\r\n" + joinFields(fields)
}

// Guards against bodies of legal size at the caller and the admin API that stop a byte
// before their end and stay.
func TestOwnInterfaceBodiesThatStopShort(t *testing.T) {
	for name, prefix := range map[string]string{"a request": "/v1/profiles", "no route": "/nowhere"} {
		t.Run(name, func(t *testing.T) {
			o := startOwnInterface(t)
			head := strings.Replace(o.head(), "/v1/profiles", prefix, 1)
			behave := func(ctx context.Context, m member) error {
				return m.send(ctx, 0, head+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(largeBody)), largeBody[1:])
			}
			o.checkUnder(crowd{address: o.callers, members: 250, behave: behave}, crowd{address: o.admin, members: 100, behave: behave})
		})
	}
}

// Guards against connections whose requests stop half-way, or come byte by byte, at both.
func TestOwnInterfaceSlowRequests(t *testing.T) {
	for name, head := range map[string]string{"bodies": "Content-Length: 10000\r\n\r\n", "heads": "Slow: "} {
		t.Run(name, func(t *testing.T) {
			o := startOwnInterface(t)
			behave := func(ctx context.Context, m member) error {
				if err := m.send(ctx, 0, o.head()+head); err != nil {
					return err
				}
				return m.slowly(ctx, 200*time.Millisecond)
			}
			o.checkUnder(crowd{address: o.callers, members: 500, behave: behave}, crowd{address: o.admin, members: 200, behave: behave})
		})
	}
}

// Guards against heads of many short fields at both.
func TestOwnInterfaceHeadsOfManyFields(t *testing.T) {
	fields := shortFields(60 << 10)
	o := startOwnInterface(t)
	behave := func(ctx context.Context, m member) error {
		return m.send(ctx, 0, o.head("Content-Length: 2")+fields+"\r\n", "x")
	}
	o.checkUnder(crowd{address: o.callers, members: 250, behave: behave}, crowd{address: o.admin, members: 100, behave: behave})
}

// Guards against many streams of HTTP/2 on each connection, with bodies that stop short.
func TestOwnInterfaceStreamsOfHTTP2(t *testing.T) {
	o := startOwnInterface(t)
	o.checkUnder(crowd{address: o.callers, members: 100, unread: true, behave: func(ctx context.Context, m member) error {
		return streams{m, o, 100}.stopShort(ctx)
	}})
}

// Guards against state that is kept for each key that a caller makes up, and for the inputs
// and answers under it.
func TestOwnInterfaceKeysThatCallersMakeUp(t *testing.T) {
	o := startOwnInterface(t)
	input := strings.Repeat("e", 200<<10)
	o.checkUnder(crowd{address: o.callers, members: 100, unread: true, behave: func(ctx context.Context, m member) error {
		return m.again(ctx, func(n int64) string {
			body := fmt.Sprintf(`{"organisation":%q,"key":"%s%016x","input":"%016x%s","prefix":"%s%016x","deadline_ms":4000}`, o.organisation, input[:200], n, n, input, input[:900], n)
			return o.head(fmt.Sprintf("Content-Length: %d", len(body))) + "\r\n" + body
		})
	}})
}

// Guards against answers of the own interface that callers do not read, and requests that
// they send ahead.
func TestOwnInterfaceRequestsAheadWithoutReading(t *testing.T) {
	o := startOwnInterface(t)
	body := fmt.Sprintf(`{"organisation":%q,"input":"x","deadline_ms":4000}`, o.organisation)
	o.checkUnder(crowd{address: o.callers, members: 300, unread: true, behave: func(ctx context.Context, m member) error {
		return m.send(ctx, 0, strings.Repeat(o.head(fmt.Sprintf("Content-Length: %d", len(body)))+"\r\n"+body, 3000))
	}}, crowd{address: o.admin, members: 60, unread: true, behave: func(ctx context.Context, m member) error {
		return m.send(ctx, 0, strings.Repeat("GET /livez HTTP/1.1\r\nHost: x\r\n\r\n", 30000))
	}})
}

// streams are requests on one connection of HTTP/2.
type streams struct {
	member
	*ownInterface
	number int
}

// stopShort sends bodies that lack their last byte and stays.
func (s streams) stopShort(ctx context.Context) error {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols, DialContext: func(context.Context, string, string) (net.Conn, error) { return s.member.Conn, nil }}
	defer transport.CloseIdleConnections()
	ended := make(chan struct{}, s.number)
	for range s.number {
		go func() {
			defer func() { ended <- struct{}{} }()
			body := io.MultiReader(strings.NewReader(largeBody[:len(largeBody)-1]), waiting{ctx})
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.callers+"/v1/profiles/"+s.profile+"/requests", body)
			if err != nil {
				return
			}
			request.ContentLength = int64(len(largeBody))
			request.Header.Set("Authorization", "Bearer "+s.token)
			if response, err := transport.RoundTrip(request); err == nil {
				_ = response.Body.Close()
			}
		}()
	}
	for range s.number {
		<-ended
	}
	return errors.New("all streams have ended")
}

// waiting is a body that never comes.
type waiting struct{ context.Context }

func (w waiting) Read([]byte) (int, error) {
	<-w.Done()
	return 0, w.Err()
}
