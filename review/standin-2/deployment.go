package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/endivemast/endivemast/standins/storeserver"
)

const (
	// program is what the build of the deploy file produces.
	program = "target/endivemast"
	// heartbeatInterval is heartbeat_ms of the site.
	heartbeatInterval = 1200 * time.Millisecond
	readyTimeout      = 20 * time.Second
)

var errNotReady = errors.New("not ready in time")

// record is the file with what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	waiting map[string]chan struct{} // by the text of a line that someone waits for
}

func newRecord(directory string) (*record, error) {
	file, err := os.Create(filepath.Join(directory, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now(), waiting: map[string]chan struct{}{}}, nil
}

// write adds a line.
func (r *record) write(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), line)
	for text, found := range r.waiting {
		if strings.Contains(line, text) {
			close(found)
			delete(r.waiting, text)
		}
	}
}

// expect returns a channel that is closed once a line contains a text.
func (r *record) expect(text string) <-chan struct{} {
	found := make(chan struct{})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting[text] = found
	return found
}

// process is a process that a case has started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed when it has ended
}

// start starts a process. Its output goes to the record if isRecorded is true.
func (d *deployment) start(name string, isRecorded bool, environment []string, command string, args ...string) (*process, error) {
	cmd := exec.Command(command, args...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, environment...)
	output, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = os.Stderr
	cmd.ExtraFiles = d.inherited
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		lines := bufio.NewScanner(output)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			if isRecorded {
				d.record.write("%s", lines.Text())
			}
		}
		_ = cmd.Wait() // killed processes end with an error
		close(p.done)
	}()
	d.processes = append(d.processes, p)
	return p, nil
}

// signal sends a signal to a process.
func (d *deployment) signal(p *process, signal syscall.Signal) {
	d.record.write("disruption: %s gets %s", p.name, signal)
	_ = p.cmd.Process.Signal(signal) // one that has ended needs none
}

// server is an engine or a plain service, with its entry in the store.
type server struct {
	settings endpointSettings
	backend  string
	process  *process
	listener *os.File // that this program keeps open as the process's supervisor; nil: none

	mu       sync.Mutex
	isUp     bool
	sequence int
}

// host is an entry host.
type host struct {
	name, callers, readiness string
	process                  *process
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	record    *record
	store     *storeserver.Server
	servers   []*server
	hosts     []*host
	processes []*process
	inherited []*os.File // descriptors that the next process gets
	stop      context.CancelFunc
	beats     sync.WaitGroup
}

func newDeployment(ctx context.Context, directory string) (d *deployment, err error) {
	r, err := newRecord(directory)
	if err != nil {
		return nil, err
	}
	d = &deployment{record: r, store: storeserver.Start()}
	ctx, d.stop = context.WithCancel(ctx)
	d.store.Put("op/config", []byte(configuration))
	d.beats.Add(1)
	go func() {
		defer d.beats.Done()
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				for _, s := range d.servers {
					d.beat(s)
				}
			}
		}
	}()
	return d, nil
}

// close ends all processes that the deployment has started.
func (d *deployment) close() {
	d.stop()
	d.beats.Wait()
	for _, p := range d.processes {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	d.store.Close()
	_ = d.record.file.Close()
}

// configuration is that of a small site: a stream that may run once, and two routes of a plain service.
const configuration = `{"version":3,"routes":[
{"name":"consult","hostname":"desk.example","prefix":"/consult/","route_type":"stream","timeout_ms":5000,"target_latency_ms":400,"target_gap_ms":150,"priority":1,"backend":"assistant","max_attempts":1,"resumable":false,"sticky_sessions":true},
{"name":"confirm","hostname":"desk.example","prefix":"/confirm/","route_type":"unsafe","timeout_ms":1000,"target_latency_ms":150,"priority":2,"backend":"desk","max_attempts":1},
{"name":"notice","hostname":"desk.example","prefix":"/notice/","route_type":"safe","timeout_ms":1000,"target_latency_ms":150,"priority":2,"backend":"desk","max_attempts":2}],
"services":[{"name":"assistant","health_check_path":"/health","max_connections":180,"engine":{"slots":16,"kv_capacity_tokens":520717,"handle_ttl_s":5,"role_switch_s":3}},
{"name":"desk","health_check_path":"/health","max_connections":110}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// addServer starts an engine or a plain service.
func (d *deployment) addServer(backend string, settings endpointSettings) (err error) {
	s := &server{settings: settings, backend: backend}
	if err := s.openAddress(); err != nil {
		return err
	}
	if err := d.startServer(s); err != nil {
		return err
	}
	d.servers = append(d.servers, s)
	return nil
}

// openAddress chooses the address of a server, and opens its listener if its supervisor keeps it.
func (s *server) openAddress() (err error) {
	if !s.settings.HasListener {
		s.settings.Address, err = freeAddress()
		return err
	}
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	defer func() { _ = listener.Close() }() // the copy stays open
	s.settings.Address = listener.Addr().String()
	s.listener, err = listener.File()
	return err
}

// startServer starts the process of a server, again under the same id and at the same address.
func (d *deployment) startServer(s *server) error {
	s.settings.BornMS = time.Now().UnixMilli()
	encoded, err := json.Marshal(s.settings)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	listens := d.record.expect(s.settings.ID + " listens")
	if s.listener != nil {
		d.inherited = []*os.File{s.listener}
		defer func() { d.inherited = nil }()
	}
	if s.process, err = d.start(s.settings.ID, true, nil, self, "endpoint", string(encoded)); err != nil {
		return err
	}
	select {
	case <-listens:
	case <-time.After(readyTimeout):
		return errNotReady
	}
	s.mu.Lock()
	s.isUp, s.sequence = true, 0
	s.mu.Unlock()
	d.beat(s)
	return nil
}

// beat writes the entry of a server that is up.
func (d *deployment) beat(s *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isUp {
		return
	}
	s.sequence++
	entry := map[string]any{
		"backend": s.backend, "address": s.settings.Address, "zone": "palermo", "version": "v1", "slots": 16, "state": "ready",
		"cold_remaining_ms": 0, "sequence": s.sequence, "born": s.settings.BornMS,
	}
	if s.settings.IsEngine {
		entry["stage"] = "decode"
	}
	encoded, err := json.Marshal(entry)
	if err != nil {
		return // the entry holds only text and numbers
	}
	d.store.Put("servers/"+s.settings.ID, encoded)
}

// killServer ends the process of a server at once.
func (d *deployment) killServer(s *server) {
	s.mu.Lock()
	s.isUp = false
	s.mu.Unlock()
	d.signal(s.process, syscall.SIGKILL)
	<-s.process.done
}

// addHost starts an entry host with the command of the deploy file, and waits until it is ready.
func (d *deployment) addHost(name string) (err error) {
	h := &host{name: name}
	var peers string
	for _, address := range []*string{&h.callers, &h.readiness, &peers} {
		if *address, err = freeAddress(); err != nil {
			return err
		}
	}
	environment := []string{
		"ENDIVEMAST_HOST_ID=" + name, "ENDIVEMAST_ZONE=palermo", "ENDIVEMAST_CALLERS_ADDRESS=" + h.callers,
		"ENDIVEMAST_READINESS_ADDRESS=" + h.readiness, "ENDIVEMAST_PEERS_ADDRESS=" + peers, "ENDIVEMAST_STORE=" + d.store.Address(),
		"ENDIVEMAST_PROCESSOR_SHARE=0.4", "ENDIVEMAST_MEMORY_MB=284", "ENDIVEMAST_MAX_DESCRIPTORS=4100", "ENDIVEMAST_GRACE=8s",
		"ENDIVEMAST_DRAIN_TIME=2000ms", "ENDIVEMAST_REPEAT_SHARE=0.2", "ENDIVEMAST_REPEAT_RESERVE=58", "ENDIVEMAST_REPEAT_WINDOW=10s",
		"ENDIVEMAST_LEASE_TTL=3000ms", "ENDIVEMAST_REVOCATION_BOUND=0ms", "ENDIVEMAST_CLOUD=", "ENDIVEMAST_DUTIES=", "ENDIVEMAST_USAGE_WINDOW=0s",
		"ENDIVEMAST_ROLES=planned",
	}
	if h.process, err = d.start(name, false, environment, program, "platform"); err != nil {
		return err
	}
	d.hosts = append(d.hosts, h)
	return await(func() bool {
		response, err := http.Get("http://" + h.readiness + "/api/ready")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// await waits until a condition holds.
func await(condition func() bool) error {
	for started := time.Now(); !condition(); {
		if time.Since(started) > readyTimeout {
			return errNotReady
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}
