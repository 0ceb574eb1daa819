package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
)

// instance is the id, zone and addresses of one instance.
type instance struct {
	ID, Zone, Store                             string
	Listen, Readiness, Directory, Control, Peer string
}

// chooseInstances gives each instance a loopback address of its own, and ports that are free
// there. They lie below the range from which the system gives ports to others.
func chooseInstances(store string) ([]instance, error) {
	pid := os.Getpid()
	port := 20000 + pid%8000
	var instances []instance
	for n := 1; n <= instanceCount; n++ {
		ip := fmt.Sprintf("127.%d.%d.%d", 100+pid>>8&0x7f, pid&0xff, 10+n)
		i := instance{ID: fmt.Sprintf("edge-%d", n), Zone: zoneOf(n), Store: store}
		for _, address := range []*string{&i.Listen, &i.Readiness, &i.Directory, &i.Control, &i.Peer} {
			for ; *address == ""; port++ {
				if port >= 32000 {
					return nil, fmt.Errorf("no free ports at %s", ip)
				}
				if l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port))); err == nil {
					*address = l.Addr().String()
					if err := l.Close(); err != nil {
						return nil, err
					}
				}
			}
		}
		instances = append(instances, i)
	}
	return instances, nil
}

// zoneOf returns the zone of an instance or server by its number from 1.
func zoneOf(n int) string { return fmt.Sprintf("zone-%d", 1+(n-1)%instanceCount) }

// settings is what the deploy file's template becomes for the instance, with the figures of
// a small deployment (the site that the cases name).
func (i instance) settings(all []instance) string {
	var seeds []string
	for _, seed := range all[:3] {
		seeds = append(seeds, strconv.Quote(seed.Control))
	}
	return fmt.Sprintf(`[instance]
id = %q
place = %q
region = "dar"

[listen]
caller = ""
admin = ""
peer = %q

[platform]
endpoints = ["http://%s"]
writes_per_second = 400
reads_per_second = 2000
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","stages"]

[peers]
seeds = [%s]

[ingress]
listen = %q
readiness = %q
addresses = %q
control = %q
address_ttl = "2s"
grace = "8s"
touch = "3000ms"
apply = "2000ms"
fail_closed = false
revocation = "5000ms"
retry_ratio = 0.2
retry_window = "10s"
retry_extra = 54
reuse_window = "8s"
memory_mb = 284
descriptors = 4100
processor_share = 0.4
processor_cores = 1
`, i.ID, i.Zone, i.Peer, i.Store, strings.Join(seeds, ","), i.Listen, i.Readiness, i.Directory, i.Control)
}
