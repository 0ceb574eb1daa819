package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"lynxhill.example/lynxhill/platform"
)

// instance is one process of the daemon.
type instance struct {
	id, zone                                    string
	listen, readiness, addresses, control, peer string
	store                                       string // its own way to the store
	program, dir                                string
	command                                     *exec.Cmd
	ended                                       chan error
}

const settings = `[instance]
id = %q
place = %q
region = "r"
[listen]
caller = ""
admin = ""
peer = %q
[platform]
endpoints = ["http://%s"]
[peers]
seeds = [%s]
[ingress]
listen = %q
readiness = %q
addresses = %q
control = %q
address_ttl = "2s"
grace = "8s"
touch = "3s"
apply = "2s"
retry_ratio = 0.2
retry_extra = 54
retry_window = "10s"
reuse_window = "8s"
first_start = %t
memory_mb = 284
descriptors = 4100
[log]
level = "debug"
`

// newInstances chooses free loopback addresses for the instances.
func newInstances(program, dir string, zones []string) ([]*instance, error) {
	var all []*instance
	port := 21000 + os.Getpid()%4000
	for n, zone := range zones {
		i := &instance{id: fmt.Sprintf("n%d", n+1), zone: zone, program: program, dir: dir}
		ip := fmt.Sprintf("127.%d.%d.%d", 60+os.Getpid()>>8&0x1f, os.Getpid()&0xff, 10+n)
		for _, address := range []*string{&i.listen, &i.readiness, &i.addresses, &i.control, &i.peer} {
			for tries := 0; *address == "" && tries < 500; port++ {
				tries++
				l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
				if err == nil {
					*address = l.Addr().String()
					_ = l.Close()
				}
			}
			if *address == "" {
				return nil, fmt.Errorf("no free port at %s", ip)
			}
		}
		all = append(all, i)
	}
	return all, nil
}

// start starts the process.
func (i *instance) start(seeds []*instance, first bool) error {
	named := ""
	for n, s := range seeds {
		if n > 0 {
			named += ","
		}
		named += strconv.Quote(s.control)
	}
	path := filepath.Join(i.dir, i.id+".toml")
	text := fmt.Sprintf(settings, i.id, i.zone, i.peer, i.store, named, i.listen, i.readiness, i.addresses, i.control, first)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(i.dir, i.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	i.command = exec.Command(i.program, "run", "--config", path)
	i.command.Stdout, i.command.Stderr = log, log
	i.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.command.Start(); err != nil {
		return err
	}
	i.ended = make(chan error, 1)
	go func(c *exec.Cmd, ended chan<- error) { ended <- c.Wait() }(i.command, i.ended)
	return nil
}

// signal sends a signal to the process.
func (i *instance) signal(s syscall.Signal) { _ = i.command.Process.Signal(s) }

// stop ends the process.
func (i *instance) stop() {
	if i.command == nil {
		return
	}
	i.signal(syscall.SIGCONT)
	i.signal(syscall.SIGKILL)
	select {
	case <-i.ended:
	case <-time.After(5 * time.Second):
	}
}

// ready waits until the instance says that it is ready.
func (i *instance) ready(ctx context.Context) error {
	for ctx.Err() == nil {
		response, err := (&http.Client{Timeout: time.Second}).Get("http://" + i.readiness + platform.ReadinessPath)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready in time", i.id)
}
