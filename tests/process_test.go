package tests

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

const pollInterval = 20 * time.Millisecond

// errPermanent marks a condition that can no longer be met.
var errPermanent = errors.New("condition can no longer be met")

// await polls a condition until it holds or fails with errPermanent. If ctx ends first,
// the error states why the condition did not hold.
func await(ctx context.Context, what string, holds func() error) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := holds()
		if err == nil || errors.Is(err, errPermanent) {
			return err
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(err, "wait for %s", what)
		case <-ticker.C:
		}
	}
}

// binaries holds the programs under test, built once per test run.
var binaries struct {
	once      sync.Once
	directory string
	err       error
}

// binary builds the programs on first use and returns the path of one.
func binary(name string) (path string, err error) {
	binaries.once.Do(func() {
		binaries.directory, binaries.err = os.MkdirTemp("", "endivemast-tests-")
		if binaries.err != nil {
			return
		}
		build := exec.Command("go", "build", "-o", binaries.directory+string(filepath.Separator),
			"../cmd/endivemast", "../cmd/standin")
		if output, err := build.CombinedOutput(); err != nil {
			binaries.err = eris.Wrapf(err, "build programs: %s", output)
		}
	})
	return filepath.Join(binaries.directory, name), binaries.err
}

// process is a running program whose log is kept.
type process struct {
	name   string
	cmd    *exec.Cmd
	output *os.File
	offset int64 // where the output of this start begins in the log
	exited chan struct{}
	paused bool // whether the last signal was SIGSTOP
	group  errgroup.Group
	err    error // valid once exited is closed
}

// startProcess starts a program. Its standard output and error are appended to a log
// file in the directory.
func startProcess(directory, name, program string, args ...string) (p *process, err error) {
	defer func() { err = eris.Wrapf(err, "start %s", name) }()
	path, err := binary(program)
	if err != nil {
		return nil, err
	}
	output, err := os.OpenFile(filepath.Join(directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	p = &process{name: name, cmd: exec.Command(path, args...), output: output, exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = output, output
	// Processes end with the test process, also when that is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if p.offset, err = output.Seek(0, io.SeekEnd); err == nil {
		err = p.cmd.Start()
	}
	if err != nil {
		return nil, errors.Join(err, output.Close())
	}
	p.group.Go(func() error {
		p.err = p.cmd.Wait()
		close(p.exited)
		return nil
	})
	return p, nil
}

func (p *process) signal(signal syscall.Signal) error {
	p.paused = signal == syscall.SIGSTOP
	return eris.Wrapf(p.cmd.Process.Signal(signal), "signal %s", p.name)
}

// pause stops the process and waits until all of its threads are stopped. The signal
// takes effect only once one thread is scheduled; on a busy machine the others run long
// enough until then to send what the pause should prevent.
func (p *process) pause(ctx context.Context) error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return await(ctx, p.name+" stopped", func() error {
		threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
		if err != nil || len(threads) == 0 {
			return eris.Wrapf(errPermanent, "threads of %s: %v", p.name, err)
		}
		for _, thread := range threads {
			if err := isStopped(thread); err != nil {
				return err
			}
		}
		return nil
	})
}

// isStopped fails unless a thread is stopped. The state follows the thread's name in
// parentheses.
func isStopped(thread string) error {
	data, err := os.ReadFile(thread)
	if err != nil {
		return err
	}
	if state := data[bytes.LastIndexByte(data, ')')+1:]; !bytes.HasPrefix(state, []byte(" T")) {
		return eris.Errorf("%s is in state %.2s", thread, state)
	}
	return nil
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// kill sends SIGKILL to the process and waits for its end.
func (p *process) kill() error {
	if p.running() {
		if err := p.signal(syscall.SIGKILL); err != nil && p.running() {
			return err
		}
	}
	<-p.exited
	return errors.Join(p.group.Wait(), p.closeOutput())
}

func (p *process) closeOutput() error {
	if err := p.output.Close(); !errors.Is(err, os.ErrClosed) {
		return err
	}
	return nil
}

// listeningLine is the log line that a stand-in writes once it listens.
type listeningLine struct {
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
}

// listening returns the log line that states where the process listens, and an error
// while there is none.
func (p *process) listening() (line listeningLine, err error) {
	data, err := os.ReadFile(p.output.Name())
	if err != nil {
		return line, err
	}
	for raw := range bytes.Lines(data[p.offset:]) {
		if json.Unmarshal(raw, &line) == nil && line.Address != "" {
			return line, nil
		}
	}
	return line, eris.Errorf("%s does not listen yet: %s", p.name, tail(data))
}

// checkRunning fails permanently if the process has ended.
func (p *process) checkRunning() error {
	select {
	case <-p.exited:
	default:
		return nil
	}
	data, err := os.ReadFile(p.output.Name())
	return eris.Wrapf(errPermanent, "%s has ended (%v): %s", p.name, errors.Join(p.err, err), tail(data))
}

func tail(data []byte) []byte {
	const maxBytes = 4 << 10
	return data[max(0, len(data)-maxBytes):]
}

// Test ports are below the kernel's ephemeral port range, so that no outgoing connection
// takes a port between its choice and its use.
const (
	firstPort     = 10240
	portBlocks    = 300
	portsPerBlock = 64
)

// portBlock is a block of ports for one cluster. Its first port stays open, which shows
// other test processes that the block is in use.
type portBlock struct {
	reservation net.Listener
	next        int
}

// reservePorts reserves a block in which no port is in use.
func reservePorts() (*portBlock, error) {
	start := os.Getpid() * 7
	for i := range portBlocks {
		base := firstPort + (start+i)%portBlocks*portsPerBlock
		reservation, err := net.Listen("tcp", loopback(base))
		if err != nil {
			continue
		}
		if blockIsFree(base) {
			return &portBlock{reservation: reservation, next: base + 1}, nil
		}
		reservation.Close()
	}
	return nil, eris.New("no free block of ports")
}

func blockIsFree(base int) bool {
	for port := base + 1; port < base+portsPerBlock; port++ {
		listener, err := net.Listen("tcp", loopback(port))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

func (b *portBlock) nextAddress() string {
	port := b.next
	b.next++
	return loopback(port)
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
