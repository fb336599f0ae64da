package comparer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/internal/httpdriver"
	"github.com/endivemast/endivemast/internal/loader"
	"github.com/endivemast/endivemast/internal/provider"
	"github.com/endivemast/endivemast/standins/placer"
)

const (
	startTimeout  = 60 * time.Second
	answerTimeout = 2 * time.Second
	pollInterval  = 50 * time.Millisecond
	// PortsPerLane is the number of ports reserved for a lane.
	PortsPerLane = 100
)

// hostProcess is one host with its process.
type hostProcess struct {
	provider.Host
	operators string // address of the operators' API, for an entry host
	peers     string // address of the peer protocol, for an entry host
	process   *process
	isKilled  bool
}

// fleet is a deployment of operating system processes.
type fleet struct {
	programs    string
	logs        string
	entryFlags  []string
	engineFlags []string
	client      *http.Client
	store       string
	platform    *process
	hosts       []*hostProcess
}

// startFleet starts a deployment. When a part fails to start, it stops the others.
func startFleet(ctx context.Context, o *Options, variant *Variant, fault Fault, port int) (f *fleet, err error) {
	defer func() { err = eris.Wrap(err, "start the deployment") }()
	f = &fleet{
		programs: o.Programs, logs: o.Logs, entryFlags: variant.EntryFlags,
		client: &http.Client{Timeout: answerTimeout, Transport: &http.Transport{}},
	}
	if variant.Programs != "" {
		f.programs = variant.Programs
	}
	if late, ok := fault.(LateReports); ok {
		f.engineFlags = []string{"--report-lag=" + late.By.String()}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.start(ctx, o.Deployment, port); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context, d placer.Deployment, port int) (err error) {
	nextAddress := func() string {
		port++
		return "127.0.0.1:" + strconv.Itoa(port-1)
	}
	f.store = nextAddress()
	for _, host := range d.Hosts() {
		m := &hostProcess{Host: host}
		m.Address, m.Incarnation = nextAddress(), uuid.NewString()
		if host.Kind == provider.HostEntry {
			m.operators, m.peers = nextAddress(), nextAddress()
		}
		f.hosts = append(f.hosts, m)
	}
	if f.platform, err = startProcess(f.logs, d.Name+"-kv", f.program("standin"), "kvserver", "--address="+f.store); err != nil {
		return err
	}
	if err := f.await(ctx, "http://"+f.store+"/stats", nil); err != nil {
		return err
	}
	var group errgroup.Group
	for _, m := range f.hosts {
		group.Go(func() error { return f.startHost(ctx, d.Name, m) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for _, m := range f.hostsOfKind(provider.HostEntry) {
		if err := f.await(ctx, "http://"+m.operators+"/healthz", nil); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) program(name string) string { return filepath.Join(f.programs, name) }

func (f *fleet) startHost(ctx context.Context, deployment string, m *hostProcess) (err error) {
	program := "standin"
	if m.Kind == provider.HostEntry {
		program = "endivemast"
		if err := f.putHost(ctx, m); err != nil { // an entry host requires its own entry in the list
			return err
		}
	}
	if m.process, err = startProcess(f.logs, deployment+"-"+m.ID, f.program(program), f.arguments(m)...); err != nil {
		return err
	}
	var report struct {
		Incarnation string `json:"incarnation"`
	}
	switch m.Kind {
	case provider.HostEngine, provider.HostService:
		if err := f.await(ctx, "http://"+m.Address+httpdriver.PathReport, &report); err != nil {
			return err
		}
		m.Incarnation = report.Incarnation
		return f.putHost(ctx, m)
	default:
		return nil
	}
}

func (f *fleet) arguments(m *hostProcess) []string {
	switch m.Kind {
	case provider.HostEngine:
		model := placer.TimeModel()
		return append([]string{
			"engine", "--address=" + m.Address, "--endpoint-id=" + m.ID, "--zone=" + m.Zone,
			"--application=" + m.Application, "--model=" + m.Application, "--model-version=" + placer.ModelVersion,
			fmt.Sprintf("--checks-fencing=%v", m.ChecksFencing),
			"--step-base=" + model.StepBase.String(), "--per-sequence=" + model.PerSequence.String(),
			"--per-prefill-token=" + model.PerPrefillToken.String(),
			fmt.Sprintf("--max-batch=%d", model.MaxBatch), fmt.Sprintf("--chunk-tokens=%d", model.ChunkTokens),
		}, f.engineFlags...)
	case provider.HostService:
		return []string{"service", "--address=" + m.Address, "--endpoint-id=" + m.ID, "--zone=" + m.Zone, "--application=" + m.Application}
	default:
		return f.entryArguments(m)
	}
}

func (f *fleet) entryArguments(m *hostProcess) []string {
	args := []string{
		"entry", "--insecure", "--plain-text", "--host-id=" + m.ID, "--zone=" + m.Zone, "--incarnation=" + m.Incarnation,
		"--callers-address=" + m.Address, "--operators-address=" + m.operators, "--peers-address=" + m.peers, "--store=" + f.store,
	}
	for _, peer := range f.hostsOfKind(provider.HostEntry) {
		if peer != m {
			args = append(args, fmt.Sprintf("--peer=%s/%s=%s", peer.Zone, peer.ID, peer.peers))
		}
	}
	return append(args, f.entryFlags...)
}

// putHost adds a host to the platform's list, or updates it.
func (f *fleet) putHost(ctx context.Context, m *hostProcess) error {
	return f.send(ctx, http.MethodPut, "http://"+f.store+"/platform/hosts/"+m.ID, m.Host)
}

func (f *fleet) hostsOfKind(kind provider.HostKind) (hosts []*hostProcess) {
	for _, m := range f.hosts {
		if m.Kind == kind {
			hosts = append(hosts, m)
		}
	}
	return hosts
}

func (f *fleet) killFirst(kind provider.HostKind) error {
	m := f.hostsOfKind(kind)[0]
	m.isKilled = true
	return m.process.kill()
}

func (f *fleet) setStoreDown(ctx context.Context, isDown bool) error {
	return f.send(ctx, http.MethodPost, "http://"+f.store+"/faults", map[string]bool{"down": isDown})
}

// loadOptions returns loader options with the addresses of the deployment.
func (f *fleet) loadOptions() (options loader.Options) {
	for _, m := range f.hosts {
		switch m.Kind {
		case provider.HostEntry:
			options.Entries = append(options.Entries, m.Address)
			options.Operators = append(options.Operators, m.operators)
		case provider.HostService:
			options.Services = append(options.Services, m.Address)
		}
	}
	return options
}

// sumCounter sums a counter over its labels and over the entry hosts that were
// not killed.
func (f *fleet) sumCounter(ctx context.Context, name string) (sum int) {
	for _, m := range f.hostsOfKind(provider.HostEntry) {
		if m.isKilled {
			continue
		}
		text, err := f.get(ctx, "http://"+m.operators+"/metrics")
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			if value, ok := counterValue(line, name); ok {
				sum += value
			}
		}
	}
	return sum
}

// counterValue parses a line of the metric name, such as name{class="letters"} 12.
func counterValue(line, name string) (value int, ok bool) {
	rest, ok := strings.CutPrefix(strings.TrimSpace(line), name)
	if !ok || !strings.HasPrefix(rest, "{") {
		return 0, false
	}
	value, err := strconv.Atoi(rest[strings.LastIndexByte(rest, ' ')+1:])
	return value, err == nil
}

// entryCPU returns the CPU time used by all entry hosts. It is called after
// their processes have exited.
func (f *fleet) entryCPU() (sum time.Duration) {
	for _, m := range f.hostsOfKind(provider.HostEntry) {
		sum += m.process.cpuTime()
	}
	return sum
}

// Close kills all processes and waits until they have exited.
func (f *fleet) Close() error {
	var errs []error
	for _, m := range f.hosts {
		if m.process != nil && !m.isKilled {
			errs = append(errs, m.process.kill())
		}
	}
	if f.platform != nil {
		errs = append(errs, f.platform.kill())
	}
	f.client.CloseIdleConnections()
	return errors.Join(errs...)
}

// await polls a URL until it answers, and decodes the answer into v unless v is nil.
func (f *fleet) await(ctx context.Context, url string, v any) error {
	for {
		data, err := f.get(ctx, url)
		if err == nil && v != nil {
			return eris.Wrapf(json.Unmarshal(data, v), "decode answer of %s", url)
		}
		if err == nil {
			return nil
		}
		if !waitFor(ctx, pollInterval) {
			return eris.Wrapf(err, "timed out waiting for %s", url)
		}
	}
}

func (f *fleet) get(ctx context.Context, url string) ([]byte, error) {
	return f.do(ctx, http.MethodGet, url, http.NoBody)
}

func (f *fleet) send(ctx context.Context, method, url string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	_, err = f.do(ctx, method, url, bytes.NewReader(body))
	return err
}

func (f *fleet) do(ctx context.Context, method, url string, body io.Reader) (data []byte, err error) {
	defer func() { err = eris.Wrapf(err, "%s %s", method, url) }()
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := f.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if data, err = io.ReadAll(response.Body); err != nil {
		return nil, err
	}
	if response.StatusCode/100 != 2 {
		return nil, eris.Errorf("status %d: %s", response.StatusCode, data)
	}
	return data, nil
}
