package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"time"

	"github.com/endivemast/endivemast/internal/provider"
)

// Sizes of the measurements of control.
const (
	controlWarm  = 4 * time.Second
	controlLasts = 12 * time.Second
	// reportsLast is longer than a turn over the most endpoints at the lister's bound.
	reportsLast  = 20 * time.Second
	hostsPerZone = 3
)

var (
	hostCounts     = []int{3, 9, 27}
	endpointCounts = []int{17, 170, 1700}
)

// measureHosts lets hosts idle, and shows what each spends on the others and
// all of them on the platform.
func measureHosts(ctx context.Context, bin string) error {
	for _, count := range hostCounts {
		if err := measureHostCount(ctx, bin, count); err != nil {
			return err
		}
	}
	return nil
}

func measureHostCount(ctx context.Context, bin string, count int) (err error) {
	d, err := deploy(ctx, bin, 1)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, d.Close()) }()
	if err := d.entry.Close(); err != nil { // it is none of the hosts that are measured
		return err
	}
	hosts := make([]entryHost, count)
	for i := range hosts {
		hosts[i].id, hosts[i].zone = fmt.Sprintf("host-%d", i), fmt.Sprintf("zone-%d", i/hostsPerZone)
		if hosts[i].peers, err = freeAddress(); err != nil {
			return err
		}
	}
	for i := range hosts {
		if hosts[i], err = d.startHost(ctx, filepath.Join(bin, "endivemast"), hosts[i], hosts); err != nil {
			return err
		}
	}
	if err := pause(ctx, controlWarm); err != nil {
		return err
	}
	return d.reportIdleHosts(ctx, hosts)
}

func (d *deployment) reportIdleHosts(ctx context.Context, hosts []entryHost) error {
	before, err := d.storeCalls(ctx)
	if err != nil {
		return err
	}
	var used time.Duration
	for _, h := range hosts {
		t, err := h.process.processorTime()
		if err != nil {
			return err
		}
		used -= t
	}
	begun := time.Now()
	if err := pause(ctx, controlLasts); err != nil {
		return err
	}
	var resident int64
	for _, h := range hosts {
		t, err := h.process.processorTime()
		if err != nil {
			return err
		}
		used += t
		bytes, err := h.process.residentBytes()
		if err != nil {
			return err
		}
		resident += bytes
	}
	after, err := d.storeCalls(ctx)
	if err != nil {
		return err
	}
	seconds, n := time.Since(begun).Seconds(), float64(len(hosts))
	fmt.Printf("  %d hosts in %d zones: %.2f%% of a core and %.1f MB a host; store: %.2f reads (watches counted) and %.2f writes, list of hosts: %.1f reads a second in all\n",
		len(hosts), len(hosts)/hostsPerZone, 100*used.Seconds()/seconds/n, float64(resident)/1e6/n,
		float64(after.Reads-before.Reads)/seconds, float64(after.Writes-before.Writes)/seconds,
		float64(after.Calls["hosts"]-before.Calls["hosts"])/seconds)
	return nil
}

// storeStats are the counters of the platform's stand-in.
type storeStats struct {
	Calls  map[string]int64 `json:"calls"`
	Reads  int64            `json:"reads"`
	Writes int64            `json:"writes"`
}

func (d *deployment) storeCalls(ctx context.Context) (stats storeStats, err error) {
	answer, err := d.send(ctx, http.MethodGet, "http://"+d.store+"/stats", nil)
	if err != nil {
		return stats, err
	}
	return stats, json.Unmarshal(answer, &stats)
}

// measureReports lets one host idle before more and more endpoints. They are
// one service's process, listed under many ids.
func measureReports(ctx context.Context, bin string) (err error) {
	d, err := deploy(ctx, bin, 1)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, d.Close()) }()
	listed := 0
	for _, count := range endpointCounts {
		for ; listed < count; listed++ {
			err := d.list(ctx, provider.Host{
				ID: fmt.Sprintf("listed-%d", listed), Incarnation: d.service.Incarnation, Kind: provider.HostService,
				Zone: zone, Address: d.service.Address, Application: "listed", State: provider.HostLive,
			})
			if err != nil {
				return err
			}
		}
		if err := pause(ctx, controlWarm); err != nil {
			return err
		}
		used, err := d.costOf(func() error { return pause(ctx, reportsLast) })
		if err != nil {
			return err
		}
		resident, err := d.entry.residentBytes()
		if err != nil {
			return err
		}
		fmt.Printf("  %d endpoints: %.2f%% of a core, resident %.1f MB\n",
			count, 100*used.Seconds()/reportsLast.Seconds(), float64(resident)/1e6)
	}
	return nil
}
