package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"lynxhill.example/lynxhill/internal/wire/overloadapi"
)

// overloadServer serves the page of an instance at its metrics address.
func overloadServer(t *testing.T, page overloadapi.Page) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc(overloadapi.Path, func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(page) })
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func overloadedPage(instance string) overloadapi.Page {
	return overloadapi.Page{
		Instance: instance,
		Parts: []overloadapi.Part{
			{Name: overloadapi.PartShares, InForce: true, Setting: "auto", Why: overloadapi.WhyScarce},
			{Name: overloadapi.PartSlotQueue, Service: "booking", InForce: instance == "a", Setting: "auto", Why: overloadapi.WhyPaced},
		},
		Decisions: overloadapi.Decisions{
			Queues: []overloadapi.Queue{{Decider: overloadapi.Coordinator, Service: "booking", Organisation: "agency-1", Route: "d", Waiting: 2, OldestMS: 30, Held: 5}},
			Refusals: []overloadapi.Refusal{
				{Decider: overloadapi.Dispatcher, Service: "engines", Organisation: "agency-1", Route: "b", Rule: "organisation", Count: 4, LastMS: 20, UntilMS: 1500},
				{Decider: overloadapi.Dispatcher, Service: "engines", Organisation: "agency\x1b[2J", Route: "a", Rule: "no_capacity", Count: 1, UntilMS: -3},
			},
			Reservations:  []overloadapi.Reservations{{Organisation: "agency-1", Route: "b", Callers: 3, NextMS: 700}},
			Shares:        []overloadapi.Share{{Service: "encode", Short: true, Organisation: "agency-1", Priority: 1, OnTimeMS: 900, ShareMS: 400, Over: true}},
			Routes:        []overloadapi.RouteShare{{Service: "encode", Route: "b", Jobs: 12, OnTime: 0.5, LargestOnTime: 0.25, LargeOnTime: 1}},
			RefusedByRule: map[string]int{"organisation": 4, "size": 0},
		},
	}
}

// Guards against figures that are not those of the instances, and against a name chosen by a
// caller that controls the operator's terminal.
func TestOverloadMergesInstances(t *testing.T) {
	a, b := overloadServer(t, overloadedPage("a")), overloadServer(t, overloadedPage("b"))
	got := lynxctl(t, "", "", "overload", a, "http://"+b)
	got.want(t, exitOK, "a b", "scarce capacity", "Reserved:", "in 700ms", "in 1.5s", "50%", "25%", "organisation=8")
	for _, want := range []string{
		"booking agency-1 d 4 0 30ms 10 coordinator", "engines agency-1 b organisation 8 20ms ago by in 1.5s dispatcher",
		"agency-1 b 6 in 700ms", "- encode yes agency-1 1 1.8s 0s 800ms yes", "slot_queue booking no auto pace stated b",
	} {
		if !strings.Contains(strings.Join(strings.Fields(got.out), " "), want) {
			t.Errorf("no %q in\n%s", want, got.out)
		}
	}
	if strings.Contains(got.out, "\x1b") || strings.Contains(got.out, "size=0") {
		t.Errorf("%q", got.out)
	}
}

// Guards against a filter that hides rows of the organisation or route, or shows others.
func TestOverloadShowsOneOrganisationOrRoute(t *testing.T) {
	address := overloadServer(t, overloadedPage("a"))
	if got := lynxctl(t, "", "", "overload", address, "--organisation", "agency-1", "--route", "b"); got.status != exitOK ||
		!strings.Contains(got.out, "Refused") || strings.Contains(got.out, "no_capacity") || strings.Contains(got.out, "coordinator") {
		t.Errorf("%+v", got)
	}
	for _, flags := range [][]string{{"overload", address, "--json", "--route", "d"}, {"--output", "json", "overload", address, "--route", "d"}} {
		var report overloadapi.Report
		got := lynxctl(t, "", "", flags...)
		if err := json.Unmarshal([]byte(got.out), &report); err != nil || got.status != exitOK {
			t.Fatalf("%v: %+v", err, got)
		}
		if len(report.Queues) != 1 || len(report.Refusals) != 0 || report.Instances[0].Instance != "a" || report.Instances[0].Address != address {
			t.Errorf("%+v", report)
		}
	}
}

// Guards against errors that do not name the address or the cause, and against one instance
// that is away by which the pages of the others are not shown.
func TestOverloadOfInstancesWithoutAPage(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := listener.Addr().String()
	listener.Close()
	serve := func(handler http.HandlerFunc) string {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	older := serve(http.NotFound)
	broken := serve(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) })
	failing := serve(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	good := overloadServer(t, overloadedPage("a"))
	for name, c := range map[string]struct {
		addresses []string
		status    int
		want      []string
	}{
		"not reachable":       {[]string{closed}, exitUnreachable, []string{closed, "not reachable"}},
		"older":               {[]string{older}, exitRefused, []string{older, "older version"}},
		"broken":              {[]string{broken}, exitRefused, []string{broken, "can't be read"}},
		"failing":             {[]string{failing}, exitRefused, []string{failing, "status 500"}},
		"one not reachable":   {[]string{closed, good}, exitUnreachable, []string{closed, "not reachable", "coordinator"}},
		"one older, one good": {[]string{good, older}, exitRefused, []string{older, "older version", "coordinator"}},
		"no address":          {nil, exitUsage, []string{"<address>"}},
		"not an address":      {[]string{"http://[x"}, exitUsage, []string{"no address"}},
	} {
		t.Run(name, func(t *testing.T) {
			lynxctl(t, "", "", append([]string{"overload"}, c.addresses...)...).want(t, c.status, c.want...)
		})
	}
}
