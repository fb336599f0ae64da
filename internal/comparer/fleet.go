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
	// PortsPerLane is the size of a lane's block of ports.
	PortsPerLane = 100
)

// member is one host with its process.
type member struct {
	provider.Host
	operators string // of an entry host
	peers     string
	process   *process
	isKilled  bool
}

// fleet is a deployment of real processes.
type fleet struct {
	programs    string
	logs        string
	entryFlags  []string
	engineFlags []string
	client      *http.Client
	store       string
	platform    *process
	members     []*member
}

// startFleet starts a deployment. What was started is ended again when a part fails.
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
	take := func() string {
		port++
		return "127.0.0.1:" + strconv.Itoa(port-1)
	}
	f.store = take()
	for _, host := range d.Hosts() {
		m := &member{Host: host}
		m.Address, m.Incarnation = take(), uuid.NewString()
		if host.Kind == provider.HostEntry {
			m.operators, m.peers = take(), take()
		}
		f.members = append(f.members, m)
	}
	if f.platform, err = startProcess(f.logs, d.Name+"-kv", f.program("standin"), "kvserver", "--address="+f.store); err != nil {
		return err
	}
	if err := f.await(ctx, "http://"+f.store+"/stats", nil); err != nil {
		return err
	}
	var group errgroup.Group
	for _, m := range f.members {
		group.Go(func() error { return f.startMember(ctx, d.Name, m) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for _, m := range f.kind(provider.HostEntry) {
		if err := f.await(ctx, "http://"+m.operators+"/healthz", nil); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) program(name string) string { return filepath.Join(f.programs, name) }

func (f *fleet) startMember(ctx context.Context, deployment string, m *member) (err error) {
	program := "standin"
	if m.Kind == provider.HostEntry {
		program = "endivemast"
		if err := f.list(ctx, m); err != nil { // a host has to find itself listed
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
		return f.list(ctx, m)
	default:
		return nil
	}
}

func (f *fleet) arguments(m *member) []string {
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

func (f *fleet) entryArguments(m *member) []string {
	args := []string{
		"entry", "--insecure", "--plain-text", "--host-id=" + m.ID, "--zone=" + m.Zone, "--incarnation=" + m.Incarnation,
		"--callers-address=" + m.Address, "--operators-address=" + m.operators, "--peers-address=" + m.peers, "--store=" + f.store,
	}
	for _, peer := range f.kind(provider.HostEntry) {
		if peer != m {
			args = append(args, fmt.Sprintf("--peer=%s/%s=%s", peer.Zone, peer.ID, peer.peers))
		}
	}
	return append(args, f.entryFlags...)
}

// list puts a host into the platform's list.
func (f *fleet) list(ctx context.Context, m *member) error {
	return f.send(ctx, http.MethodPut, "http://"+f.store+"/platform/hosts/"+m.ID, m.Host)
}

func (f *fleet) kind(kind provider.HostKind) (members []*member) {
	for _, m := range f.members {
		if m.Kind == kind {
			members = append(members, m)
		}
	}
	return members
}

func (f *fleet) killFirst(kind provider.HostKind) error {
	m := f.kind(kind)[0]
	m.isKilled = true
	return m.process.kill()
}

func (f *fleet) setStoreDown(ctx context.Context, isDown bool) error {
	return f.send(ctx, http.MethodPost, "http://"+f.store+"/faults", map[string]bool{"down": isDown})
}

// loadOptions are the addresses that a load needs.
func (f *fleet) loadOptions() (options loader.Options) {
	for _, m := range f.members {
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

// counters sums a counter over its labels and the entry hosts that still run.
func (f *fleet) counters(ctx context.Context, name string) (sum int) {
	for _, m := range f.kind(provider.HostEntry) {
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

// counterValue reads a line such as name{class="letters"} 12.
func counterValue(line, name string) (value int, ok bool) {
	rest, ok := strings.CutPrefix(strings.TrimSpace(line), name)
	if !ok || !strings.HasPrefix(rest, "{") {
		return 0, false
	}
	value, err := strconv.Atoi(rest[strings.LastIndexByte(rest, ' ')+1:])
	return value, err == nil
}

// entryCPU is what the entry hosts have used; they have ended.
func (f *fleet) entryCPU() (sum time.Duration) {
	for _, m := range f.kind(provider.HostEntry) {
		sum += m.process.cpuTime()
	}
	return sum
}

// Close ends all processes and waits for them.
func (f *fleet) Close() error {
	var errs []error
	for _, m := range f.members {
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

// await polls an address until it answers, and decodes the answer into v unless v is nil.
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
			return eris.Wrapf(err, "awaited %s in vain", url)
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
