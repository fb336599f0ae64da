package comparer

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// process is a started program.
type process struct {
	name   string
	cmd    *exec.Cmd
	output *os.File
	exited chan struct{}
	group  errgroup.Group
}

func startProcess(logs, name, program string, args ...string) (p *process, err error) {
	defer func() { err = eris.Wrapf(err, "start %s", name) }()
	output, err := os.Create(filepath.Join(logs, name+".log"))
	if err != nil {
		return nil, err
	}
	p = &process{name: name, cmd: exec.Command(program, args...), output: output, exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = output, output
	p.cmd.SysProcAttr = processAttributes()
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Join(err, output.Close())
	}
	p.group.Go(func() error {
		// Killed processes return an error from Wait, which is expected.
		_ = p.cmd.Wait()
		close(p.exited)
		return nil
	})
	return p, nil
}

// kill sends SIGKILL to the process and waits until it has exited.
func (p *process) kill() error {
	if err := p.cmd.Process.Signal(syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return eris.Wrapf(err, "kill %s", p.name)
	}
	return errors.Join(p.group.Wait(), closeOnce(p.output))
}

// cpuTime returns the CPU time that the process used, or 0 while it runs.
func (p *process) cpuTime() time.Duration {
	if p.cmd.ProcessState == nil {
		return 0
	}
	return p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
}

func closeOnce(file *os.File) error {
	if err := file.Close(); !errors.Is(err, os.ErrClosed) {
		return err
	}
	return nil
}
