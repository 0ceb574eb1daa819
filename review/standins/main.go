// Command standins plays the world of a case of the review: the platform's store, servers
// and clients, on loopback addresses. It writes the settings of the instances, which
// run-case.sh starts, waits until they are ready, sends the load, makes the disruption, and
// judges by what clients and servers saw.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"lynxhill.example/lynxhill/deploy/emulator"
	"lynxhill.example/lynxhill/platform"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// instanceCount is the number of instances, one in each zone.
const instanceCount = 4

// seed is that of all chances of a run; the order of events is that of the real clock.
const seed = 62

func main() {
	name := flag.String("case", "", "number of the case")
	dir := flag.String("dir", "", "directory for the settings")
	record := flag.String("record", "", "file for the record")
	trouble := flag.String("trouble", "1", "0 leaves out the disruption")
	flag.Parse()
	play, known := cases[*name]
	if !known {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		os.Exit(exitFailed)
	}
	status, err := run(play, *dir, *record, *trouble != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	os.Exit(status)
}

// run plays a case.
func run(play scenario, dir, record string, trouble bool) (status int, err error) {
	network := newNetwork(rand.New(rand.NewPCG(seed, 1)))
	w, err := emulator.NewWorld(play.deployment(network))
	if err != nil {
		return exitFailed, err
	}
	defer w.Close()
	instances, err := chooseInstances(w.StoreAddress)
	if err != nil {
		return exitFailed, err
	}
	if err := writeSettings(dir, instances); err != nil {
		return exitFailed, err
	}
	if err := awaitReady(instances); err != nil {
		return exitFailed, err
	}
	r := &recorder{began: time.Now(), network: network}
	l := newLoad(instances, play, r)
	faultsEnded := make(chan struct{})
	go func() {
		defer close(faultsEnded)
		if trouble {
			play.disrupt(w, network, r)
		}
	}()
	l.run(play.duration)
	<-faultsEnded
	settle(w)
	return r.judge(record, play, w, l, trouble)
}

// settle waits until the servers are at work no more.
func settle(w *emulator.World) {
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		atWork := false
		for _, run := range w.Journal.Runs() {
			atWork = atWork || run.Ended.IsZero()
		}
		if !atWork {
			return
		}
	}
}

// awaitReady waits until all instances are ready and name one another to clients.
func awaitReady(instances []instance) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, i := range instances {
			var answer struct{ Addresses []string }
			if get(i.Readiness+platform.ReadinessPath, nil) && get(i.Directory+platform.AddressPath+"?zone="+i.Zone, &answer) && len(answer.Addresses) == len(instances) {
				ready++
			}
		}
		if ready == len(instances) {
			return nil
		}
	}
	return fmt.Errorf("the instances are not ready")
}

func get(url string, answer any) bool {
	response, err := (&http.Client{Timeout: time.Second}).Get("http://" + url)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK && (answer == nil || json.NewDecoder(response.Body).Decode(answer) == nil)
}

// writeSettings writes the settings of the instances, then the list of their ids, for which
// the script waits.
func writeSettings(dir string, instances []instance) error {
	var ids []string
	for _, i := range instances {
		ids = append(ids, i.ID)
		if err := os.WriteFile(filepath.Join(dir, i.ID+".toml"), []byte(i.settings(instances)), 0o600); err != nil {
			return err
		}
	}
	part := filepath.Join(dir, "instances.part")
	if err := os.WriteFile(part, []byte(strings.Join(ids, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	return os.Rename(part, filepath.Join(dir, "instances"))
}
