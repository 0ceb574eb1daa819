// Command soak is the part of scripts/soak.sh that speaks the platform's words: the stand-ins with their faults, the
// clients with their load, and the verdict. The script starts the processes and sends the signals; this program starts
// none. See docs/operators/soak.md.
package main

import (
	"bytes"
	_ "embed" // of the settings
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"text/template"
	"time"

	"lynxhill.example/lynxhill/platform"
)

const (
	applyTime = 2 * time.Second // within which a change of routes is in force
	touchTime = 2 * time.Second // of the settings: after which an instance is out of touch
	askTime   = 3 * time.Second // each client's deadline
	leaveTime = 2 * time.Second // within which a target that says that it leaves gets nothing more
	host      = "a.example"
)

// instanceSpec is the id, zone and addresses of one instance.
type instanceSpec struct {
	ID, Zone                           string
	Store                              string // its own way to the store
	Listen, Readiness, Addresses, Peer string
	Link                               string // address of the proxy through which other instances connect to Peer
}

// options of a run.
type options struct {
	dir       string
	instances int
	rate      float64
	duration  time.Duration
	seed      uint64
	severed   bool
	world     string // name of a file in worlds
	// identified has late and foreign answers always state their ids.
	identified bool
}

func main() {
	o := options{}
	flag.StringVar(&o.dir, "dir", "", "directory of the run")
	flag.IntVar(&o.instances, "instances", 4, "instances that the script starts")
	flag.Float64Var(&o.rate, "rate", 40, "requests a second")
	flag.DurationVar(&o.duration, "duration", 30*time.Second, "of the load")
	flag.Uint64Var(&o.seed, "seed", 1, "of load and faults")
	flag.BoolVar(&o.severed, "severed", false, "sever connections and change routes, no other faults")
	flag.BoolVar(&o.identified, "identified", false, "late and foreign answers always state their ids")
	flag.StringVar(&o.world, "world", "mixed", "deployment with its load, a file in deploy/soak/worlds")
	flag.Parse()
	command, ok := map[string]func(options) error{"world": serveWorld, "settings": writeSettings, "ready": awaitReady}[flag.Arg(0)]
	if !ok {
		command = func(options) error { return errors.New("usage: soak -dir DIR [flags] world|settings|ready") }
	}
	if err := command(o); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// readInstances reads what world wrote.
func readInstances(o options) (instances []instanceSpec, err error) {
	text, err := os.ReadFile(filepath.Join(o.dir, "plan.json"))
	return instances, errors.Join(err, json.Unmarshal(text, &instances))
}

// writeWhole writes a file that others wait for: it is there whole or not at all.
func writeWhole(dir, name string, text []byte) error {
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path+".part", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".part", path)
}

// chooseInstances gives each instance an IP number of its own, and ports that are free there. They lie outside of the range
// from which the system gives ports to others, since an instance comes back to them.
func chooseInstances(count, zones int) (instances []instanceSpec) {
	pid := os.Getpid()
	port := 20000 + pid%4000
	for n := 1; n <= count; n++ {
		ip := fmt.Sprintf("127.%d.%d.%d", 100+pid>>8&0x7f, pid&0xff, 10+n)
		i := instanceSpec{ID: fmt.Sprintf("n%d", n), Zone: fmt.Sprintf("z%d", 1+n%zones)}
		for _, address := range []*string{&i.Listen, &i.Readiness, &i.Addresses, &i.Peer} {
			for ; *address == ""; port++ {
				if l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port))); err == nil {
					*address = l.Addr().String()
					_ = l.Close() // the instance finds out
				}
			}
		}
		instances = append(instances, i)
	}
	return instances
}

// settings is what deploy/settings.toml.tmpl becomes on a machine, for this deployment.
//
//go:embed settings.toml.tmpl
var settings string

// writeSettings writes a file for each instance.
func writeSettings(o options) error {
	instances, err := readInstances(o)
	file, worldErr := readWorld(o.world)
	err = errors.Join(err, worldErr)
	for _, i := range instances {
		var text bytes.Buffer
		made := template.Must(template.New("").Parse(settings)).Execute(&text, map[string]any{"at": i, "touch": touchTime, "apply": applyTime, "repeats": file.Repeats})
		err = errors.Join(err, made, writeWhole(o.dir, i.ID+".toml", text.Bytes()))
	}
	return err
}

// awaitReady waits until all instances are ready and name one another to clients.
func awaitReady(o options) error {
	instances, err := readInstances(o)
	for end := time.Now().Add(20 * time.Second); err == nil; time.Sleep(50 * time.Millisecond) {
		n := slices.IndexFunc(instances, func(i instanceSpec) bool {
			var answer struct{ Addresses []string }
			return !get(i.Readiness+platform.ReadinessPath, nil) || !get(i.Addresses+platform.AddressPath+"?zone="+i.Zone, &answer) || len(answer.Addresses) != len(instances)
		})
		if n < 0 {
			return nil
		}
		if time.Now().After(end) {
			err = fmt.Errorf("%s isn't ready, or doesn't name all instances", instances[n].ID)
		}
	}
	return err
}

func get(url string, answer any) bool {
	response, err := (&http.Client{Timeout: time.Second}).Get("http://" + url)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK && (answer == nil || json.NewDecoder(response.Body).Decode(answer) == nil)
}
