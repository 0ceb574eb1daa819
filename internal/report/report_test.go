package report

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/quartz"

	"lynxhill.example/lynxhill/internal/errkind"
	"lynxhill.example/lynxhill/internal/pipeline"
	"lynxhill.example/lynxhill/internal/slo"
	"lynxhill.example/lynxhill/internal/wire/lynxapi"
)

// load is the traffic of one profile in the sample report.
type load struct {
	name      string
	objective float64
	perMinute int
	missShare float64
	stages    []string
	lastPrice float64
	badFrom   int // first minute in which requests fail more often
	badTo     int
}

var loads = []load{
	{"creative-check", 0.995, 60, 0.002, []string{"embed", "rules", "rank-rules", "verdict"}, 0.4, 0, 0},
	{"booking", 0.999, 20, 0.0004, []string{"embed", "line", "book"}, 0.2, 44, 60},
	{"trafficking-note", 0.99, 25, 0.004, []string{"campaign", "rank-passages", "draft"}, 1.3, 20, 40},
	{"insertion-order-read", 0.99, 15, 0.001, []string{"embed", "similar-orders", "rank-orders", "read", "line-items", "sum-up"}, 0.9, 0, 0},
}

// sampleReport returns the report after the given minutes of traffic in virtual
// time.
func sampleReport(t *testing.T, minutes int) lynxapi.BurnReport {
	t.Helper()
	var report lynxapi.BurnReport
	synctest.Test(t, func(*testing.T) {
		objectives := make(map[string]float64)
		for _, l := range loads {
			objectives[l.name] = l.objective
		}
		tracker := slo.New(slo.Options{
			Clock: quartz.NewReal(), Instance: "lh-1", Zone: "lac-a",
			Objectives: func(name string) float64 { return objectives[name] },
		})
		rng := rand.New(rand.NewPCG(1, 2))
		for minute := range minutes {
			for _, l := range loads {
				for range l.perMinute {
					tracker.Observe(sampleOf(rng, l, minute))
				}
			}
			time.Sleep(time.Minute)
		}
		report = tracker.Local(0)
	})
	report.Instances, report.Missing = 7, []string{"lh-8"}
	return report
}

func sampleOf(rng *rand.Rand, l load, minute int) slo.Sample {
	s := slo.Sample{
		Profile:      l.name,
		Organisation: fmt.Sprintf("agency-%d", 1+min(rng.IntN(8), rng.IntN(8))),
		Zone:         []string{"lac-a", "lac-b", "charguia", "ariana"}[rng.IntN(4)],
		Attained:     true,
	}
	for i, name := range l.stages {
		stage := pipeline.StageReport{Stage: name, Provider: "default", Target: fmt.Sprintf("%s-%d", name, 1+rng.IntN(3)), Attempts: 1, Cost: 0.03}
		stage.Duration = time.Duration(4+rng.ExpFloat64()*4) * time.Millisecond
		if i == len(l.stages)-1 || name == "line" || name == "read" {
			stage.Provider, stage.Cost = "old", l.lastPrice*(0.8+0.4*rng.Float64())
			if rng.IntN(3) == 0 {
				stage.Provider, stage.Cost = "new", stage.Cost*0.62
			}
			stage.Duration = time.Duration(250+rng.ExpFloat64()*180) * time.Millisecond
			stage.Tokens = 60 + rng.IntN(80)
			if rng.IntN(20) == 0 {
				stage.Wasted = stage.Cost / 3
			}
		}
		s.Total += stage.Duration
		s.Stages = append(s.Stages, stage)
	}
	s.FirstToken = s.Total / 3
	missShare := l.missShare
	if minute >= l.badFrom && minute < l.badTo {
		missShare = 0.05
	}
	if rng.Float64() < missShare {
		makeMiss(rng, &s)
	}
	return s
}

// makeMiss turns the sample into a miss: rejected, late or failed.
func makeMiss(rng *rand.Rand, s *slo.Sample) {
	s.Attained = false
	last := &s.Stages[len(s.Stages)-1]
	switch rng.IntN(4) {
	case 0:
		s.Err = errkind.New(errkind.Overloaded, "full")
		s.Stages = nil
	case 1:
		s.Stages[1].Duration += 4 * time.Second
		s.Total += 4 * time.Second
	default:
		s.Err = errkind.New(errkind.TargetFailed, "died")
		last.Err, last.Target = errors.New("died"), "lynx-pool-7"
	}
}

func pageOf(t *testing.T, r lynxapi.BurnReport) string {
	t.Helper()
	var out bytes.Buffer
	if err := HTML(&out, r); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func textOf(t *testing.T, r lynxapi.BurnReport) string {
	t.Helper()
	var out bytes.Buffer
	if err := Text(&out, r); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func TestPageIsCompleteAndSelfContained(t *testing.T) {
	page := pageOf(t, sampleReport(t, 60))
	for _, l := range loads {
		if !strings.Contains(page, l.name) {
			t.Errorf("no %s", l.name)
		}
	}
	const plots = 7 // a card for each of four profiles, burn, causes, costs
	if n := strings.Count(page, "<svg"); n != plots {
		t.Errorf("%d plots", n)
	}
	for _, foreign := range []string{"<script", "<link", "<img", "@import", "url(", "src="} {
		if strings.Contains(page, foreign) {
			t.Errorf("the page has %s", foreign)
		}
	}
	for _, variable := range cssVariables {
		if !strings.Contains(page, variable+":") {
			t.Errorf("no colour for %s", variable)
		}
	}
	if left := regexp.MustCompile(`#0A00[0-9A-F]{2}`).FindString(page); left != "" {
		t.Errorf("placeholder colour %s was not replaced", left)
	}
	if black := regexp.MustCompile(`(fill|stroke):#000`).FindString(page); black != "" {
		t.Error("a plot draws in black, which dark pages do not show")
	}
}

func TestNoBurnPlotWithoutMisses(t *testing.T) {
	row := lynxapi.BurnRow{Scope: slo.ScopeProfile, Name: "p", Total: 9, Attained: 9, Attainment: 1, Objective: 0.99, BudgetLeft: 1}
	page := pageOf(t, lynxapi.BurnReport{Rows: []lynxapi.BurnRow{row}, LongS: 3600})
	if !strings.Contains(page, "No profile missed a request in the last 1h.") || strings.Contains(page, "<svg") {
		t.Error("an empty plot instead of a sentence")
	}
}

func TestPlotsAreWellFormed(t *testing.T) {
	page := pageOf(t, sampleReport(t, 60))
	for _, picture := range regexp.MustCompile(`(?s)<svg.*?</svg>`).FindAllString(page, -1) {
		decoder := xml.NewDecoder(strings.NewReader(picture))
		for {
			_, err := decoder.Token()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				t.Fatalf("%v in %.200s", err, picture)
			}
		}
	}
}

// Guards against script injection: names of organisations and targets that
// contain markup must be escaped in the page.
func TestNamesAreEscaped(t *testing.T) {
	const evil = `<script>alert("x")</script>&`
	r := sampleReport(t, 3)
	for i := range r.Rows {
		r.Rows[i].Name = evil
	}
	for i := range r.Series {
		r.Series[i].Profile = evil
	}
	r.Causes = []lynxapi.BurnCause{{Profile: evil, Stage: evil, Target: evil, ErrorKind: evil, Count: 3}}
	for i := range r.Costs {
		r.Costs[i].Profile, r.Costs[i].Stage, r.Costs[i].Provider = evil, evil, evil
	}
	r.Missing = []string{evil}
	if page := pageOf(t, r); strings.Contains(page, "<script") {
		t.Fatal("a name was written as markup")
	}
}

func TestEmptyAndOddReports(t *testing.T) {
	empty := lynxapi.BurnReport{At: time.Unix(0, 0)}
	row := lynxapi.BurnRow{Scope: slo.ScopeProfile, Name: "p", Total: 1, Attained: 1, Attainment: 1, Objective: 0.99, BudgetLeft: 1}
	one := lynxapi.BurnReport{Rows: []lynxapi.BurnRow{row}, Series: []lynxapi.BurnSeries{{Profile: "p", StepS: 1, Points: []lynxapi.BurnPoint{{Total: 1, Attained: 1}}}}}
	excluded := lynxapi.BurnReport{Rows: []lynxapi.BurnRow{{Scope: slo.ScopeProfile, Name: "p", Excluded: 4, Attainment: 1, BudgetLeft: 1}}}
	free := lynxapi.BurnReport{Costs: []lynxapi.CostRow{{Profile: "p", Stage: "s", Provider: "x", Calls: 1}, {Profile: "p", Stage: "s", Provider: "y"}}}
	for name, r := range map[string]lynxapi.BurnReport{"empty": empty, "one request": one, "only excluded": excluded, "no cost": free} {
		t.Run(name, func(t *testing.T) {
			if page := pageOf(t, r); !strings.Contains(page, "</html>") {
				t.Fatal("the page is truncated")
			}
			if textOf(t, r) == "" {
				t.Fatal("no text")
			}
		})
	}
}

func TestTextNamesMissesAndCauses(t *testing.T) {
	text := textOf(t, sampleReport(t, 60))
	for _, want := range []string{"2 of 4 profiles missed the objective.", "7 instances; no answer from 1: lh-8", "BURN 5m/1h",
		"lynx-pool-7", "target_failed", "late", "COST BY STAGE", "agency-1"} {
		if !strings.Contains(text, want) {
			t.Errorf("no %q in\n%s", want, text)
		}
	}
}

func TestWorstProfilesComeFirst(t *testing.T) {
	r := sampleReport(t, 60)
	for name, shown := range map[string]string{"text": textOf(t, r), "page": pageOf(t, r)} {
		last := -1
		for _, profile := range []string{"booking", "trafficking-note", "creative-check"} {
			at := strings.Index(shown, profile)
			if at <= last {
				t.Errorf("%s: %s is at %d, before a profile with a worse status", name, profile, at)
			}
			last = at
		}
	}
}

func TestFormats(t *testing.T) {
	cases := [][2]string{
		{window(300), "5m"}, {window(3600), "1h"}, {window(5400), "1h30m"}, {window(10), "10s"}, {window(0), "0s"},
		{share(0.9999999), "99.99%"}, {share(1), "100%"}, {share(0.995), "99.5%"}, {share(0), "0%"}, {share(0.5), "50%"},
		{count(1234567), "1,234,567"}, {count(12), "12"}, {formatMilliseconds(0), "-"}, {formatMilliseconds(3.14), "3.1 ms"}, {formatMilliseconds(2500), "2.50 s"},
		{budget(-2.5), "spent 3.50x"}, {bar(0.5), "#####....."}, {bar(-1), ".........."}, {amount(1234.4), "1,234"},
	}
	for _, c := range cases {
		if c[0] != c[1] {
			t.Errorf("got %q, want %q", c[0], c[1])
		}
	}
}
