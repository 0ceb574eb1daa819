package main

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"lynxhill.example/lynxhill/internal/wire/overloadapi"
)

// printOverload writes the report as tables. Those without rows are left out.
func printOverload(env *environment, r overloadapi.Report) {
	printParts(env, r.Instances)
	section(env, "Slots", []string{"SERVICE", "SHARD", "USED", "PACE", "DEMAND", "CAPACITY", "TARGETS"}, r.Slots, func(s overloadapi.Slots) []string {
		return []string{s.Service, fmt.Sprint(s.Shard), fmt.Sprintf("%d/%d", s.Used, s.Slots), fmt.Sprintf("%.2f", s.MeanPace),
			fmt.Sprintf("%.1f", s.Demand), fmt.Sprintf("%.1f", s.Capacity), orDash(countsText(s.Targets))}
	})
	section(env, "Waiting, and holding slots", []string{"SERVICE", "ORGANISATION", "ROUTE", "WAITING", "LATE", "OLDEST", "HELD", "BY"}, r.Queues, func(q overloadapi.Queue) []string {
		return []string{q.Service, name(q.Organisation), name(q.Route), fmt.Sprint(q.Waiting), fmt.Sprint(q.Late), milliseconds(q.OldestMS), fmt.Sprint(q.Held), string(q.Decider)}
	})
	section(env, "Refused in the last 10 s", []string{"SERVICE", "ORGANISATION", "ROUTE", "RULE", "REFUSED", "LAST", "COME BACK", "BY"}, r.Refusals, func(f overloadapi.Refusal) []string {
		return []string{f.Service, name(f.Organisation), name(f.Route), f.Rule, fmt.Sprint(f.Count), milliseconds(f.LastMS) + " ago", "by " + due(f.UntilMS), string(f.Decider)}
	})
	section(env, "Reserved", []string{"ORGANISATION", "ROUTE", "CALLERS", "NEXT"}, r.Reservations, func(v overloadapi.Reservations) []string {
		return []string{name(v.Organisation), name(v.Route), fmt.Sprint(v.Callers), due(v.NextMS)}
	})
	section(env, "Shares of organisations", []string{"CELL", "SERVICE", "SHORT", "ORGANISATION", "PRIORITY", "ON TIME", "LATE", "SHARE", "OVER"}, r.Shares, func(s overloadapi.Share) []string {
		return []string{orDash(s.Cell), s.Service, yesOrNo(s.Short), name(s.Organisation), fmt.Sprint(s.Priority),
			milliseconds(s.OnTimeMS), milliseconds(s.LateMS), milliseconds(s.ShareMS), yesOrNo(s.Over)}
	})
	section(env, "On time by route", []string{"CELL", "SERVICE", "ROUTE", "JOBS", "ALL", "LARGEST", "LARGE"}, r.Routes, func(s overloadapi.RouteShare) []string {
		return []string{orDash(s.Cell), s.Service, name(s.Route), fmt.Sprintf("%.0f", s.Jobs), percent(s.OnTime), percent(s.LargestOnTime), percent(s.LargeOnTime)}
	})
	printOverloadCounts(env, r)
	if r.OmittedRows > 0 {
		env.printf("\n%d rows are left out: a list of an instance has at most %d\n", r.OmittedRows, overloadapi.MaxRows)
	}
}

// printParts writes what is in force, with one row for all instances that agree.
func printParts(env *environment, instances []overloadapi.Origin) {
	at := make(map[overloadapi.Part][]string)
	for _, o := range instances {
		for _, p := range o.Parts {
			at[p] = append(at[p], o.Instance)
		}
	}
	parts := slices.SortedFunc(maps.Keys(at), func(a, b overloadapi.Part) int {
		return strings.Compare(a.Name+" "+a.Service+fmt.Sprint(a), b.Name+" "+b.Service+fmt.Sprint(b))
	})
	env.table([]string{"PART", "SERVICE", "IN FORCE", "SETTING", "WHY", "INSTANCES"}, rowsOf(parts, func(p overloadapi.Part) []string {
		return []string{p.Name, orDash(p.Service), yesOrNo(p.InForce), p.Setting, strings.ReplaceAll(string(p.Why), "_", " "), instancesText(at[p])}
	}))
}

// maxNamedInstances bounds the instances that are named in a row.
const maxNamedInstances = 3

func instancesText(names []string) string {
	if len(names) > maxNamedInstances {
		return fmt.Sprintf("%d, such as %s", len(names), names[0])
	}
	return strings.Join(names, " ")
}

func section[R any](env *environment, title string, header []string, rows []R, row func(R) []string) {
	if len(rows) == 0 {
		return
	}
	env.printf("\n%s:\n", title)
	env.table(header, rowsOf(rows, row))
}

func printOverloadCounts(env *environment, r overloadapi.Report) {
	var rows [][]string
	for _, c := range []struct{ what, counts string }{
		{"reservations", countsText(r.ReservationCounts)}, {"became late, by rule", countsText(r.LateByRule)},
		{"refused while late, by rule", countsText(r.RefusedByRule)}, {"results of stages", countsText(r.Results)},
	} {
		if c.counts != "" {
			rows = append(rows, []string{c.what, c.counts})
		}
	}
	section(env, "Since the start of the instances", []string{"WHAT", "COUNTS"}, rows, func(row []string) []string { return row })
}

// countsText returns the counts that are not 0, by name.
func countsText[N int | int64](counts map[string]N) string {
	var words []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		if counts[name] != 0 {
			words = append(words, fmt.Sprintf("%s=%d", name, counts[name]))
		}
	}
	return strings.Join(words, " ")
}

func milliseconds(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }

// due tells how soon a time is.
func due(ms int64) string {
	if ms <= 0 {
		return "now"
	}
	return "in " + milliseconds(ms)
}

func percent(share float64) string { return fmt.Sprintf("%.0f%%", 100*share) }

// name shows a name that a caller may have chosen without characters that control a terminal.
func name(text string) string {
	if text == "" {
		return "-"
	}
	quoted := strconv.Quote(text)
	return quoted[1 : len(quoted)-1]
}
