// Command standins-2 plays the cases of an independent review on the project's own programs
// and stand-ins. It starts the instances as processes and ends them.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// options of a case.
type options struct {
	program string // the daemon
	dir     string // temporary
	trouble bool
	list    string // kind of the objects that list the platform's servers
	start   string // field of their entries that states their start
	record  *record
}

// verdict is what a case found: how often the rule was broken.
type verdict struct{ broken, checked int }

var cases = map[string]func(context.Context, options) (verdict, error){"early": early, "slow": slow, "foreign": foreign, "later-start": laterStart}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case")
	program := flag.String("program", "target/lynxhilld", "the daemon")
	out := flag.String("record", "record.txt", "what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "with the disruption")
	list := flag.String("list", "", "kind of the objects that list the platform's servers")
	start := flag.String("start", "", "field of their entries that states their start")
	flag.Parse()
	play, known := cases[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return statusNotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	absolute, err := filepath.Abs(*program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	rec, err := newRecord(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	v, err := play(ctx, options{program: absolute, dir: dir, trouble: *trouble, list: *list, start: *start, record: rec})
	if err != nil {
		rec.say("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	rec.say("the rule was broken %d times in %d checks", v.broken, v.checked)
	fmt.Printf("broken %d times in %d checks\n", v.broken, v.checked)
	if v.broken > 0 {
		return statusBroken
	}
	return statusHeld
}
