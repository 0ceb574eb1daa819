package bench

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"lynxhill.example/lynxhill/internal/standin/fleet"
)

func (d *demo) summary() {
	d.printf("\n")
	table := tabwriter.NewWriter(d.opts.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "profile\tsent\twhole\twithin deadline\tattainment\n")
	for _, r := range demoRequests {
		t := d.attained[r.profile]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%.1f%%\n", r.profile, t.sent, t.whole, t.inTime, 100*float64(t.inTime)/float64(t.sent))
	}
	_ = table.Flush()
	for _, name := range fleet.Names() {
		d.costs(name)
	}
}

// costs prints the cost by stage and provider, merged over the instances.
func (d *demo) costs(name string) {
	ctx, cancel := context.WithTimeout(context.Background(), costTimeout)
	defer cancel()
	report, err := d.clusters[name].Admin().Burn(ctx)
	if err != nil {
		d.printf("%s: no cost report: %v\n", name, err)
		return
	}
	d.printf("\n%s: cost by stage\n", name)
	table := tabwriter.NewWriter(d.opts.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "profile\tstage\tprovider\tcalls\tcost\tof it wasted\tmean ms\n")
	for _, row := range report.Costs {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%.3f\t%.3f\t%.1f\n", row.Profile, row.Stage, row.Provider, row.Calls, row.Cost, row.Wasted, row.MeanMS)
	}
	_ = table.Flush()
}

const costTimeout = 5 * time.Second

// keep leaves everything running for lynxctl.
func (d *demo) keep(ctx context.Context) {
	for _, name := range fleet.Names() {
		c := d.clusters[name]
		organisation := fleet.Organisations(name)[0]
		d.printf("\n%s goes on; in another terminal:\n", name)
		d.printf("  export LYNXCTL_SERVER=%s LYNXCTL_TOKEN=%s\n", c.Instances()[0].Daemon.AdminAddr(), c.OperatorToken())
		d.printf("  go run ./cmd/lynxctl status\n")
		d.printf("  go run ./cmd/lynxctl --server %s --token %s send %s --organisation %s --input '{\"a\":1}'\n",
			c.Instances()[0].Daemon.CallerAddr(), c.CallerToken(organisation), demoProfileOf(name), organisation)
	}
	d.printf("\nCtrl-C ends it.\n")
	<-ctx.Done()
}

func demoProfileOf(deployment string) string {
	for _, r := range demoRequests {
		if r.deployment == deployment {
			return r.profile
		}
	}
	return ""
}
