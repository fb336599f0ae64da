package timekeeper

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// askEnv has the test program be the process that stands still: it asks at the
	// address that it names, and says which came first.
	askEnv = "ENDIVEMAST_TEST_ASK"

	askLimit   = 500 * time.Millisecond
	standStill = 4 * askLimit
)

func TestMain(m *testing.M) {
	if address := os.Getenv(askEnv); address != "" {
		fmt.Print(askOnce(address))
		return
	}
	os.Exit(m.Run())
}

// askOnce sends a line and waits for one.
func askOnce(address string) string {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := WithTimeout(context.Background(), askLimit)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := conn.Write([]byte("question\n")); err != nil {
		return err.Error()
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return "no answer: " + context.Cause(ctx).Error()
	}
	return line
}

// A process is stopped while it waits, and its limit passes. What came meanwhile is
// heard when it goes on; where nothing came, the limit still ends the wait.
func TestProcessThatStandsStill(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct{ answer, want string }{
		"answer came meanwhile": {answer: "answer\n", want: "answer\n"},
		"no answer came":        {want: "no answer: context deadline exceeded"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			asker := exec.Command(os.Args[0])
			asker.Env = append(os.Environ(), askEnv+"="+listener.Addr().String())
			var said strings.Builder
			asker.Stdout = &said
			assert.NilError(t, asker.Start())

			conn, err := listener.Accept()
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = bufio.NewReader(conn).ReadString('\n')
			assert.NilError(t, err)
			stopFor(t, asker.Process, standStill, func() {
				_, err := conn.Write([]byte(test.answer))
				assert.NilError(t, err)
			})
			assert.NilError(t, asker.Wait())
			assert.Equal(t, said.String(), test.want)
		})
	}
}

// stopFor stops a process, and does something else meanwhile.
func stopFor(t *testing.T, process *os.Process, span time.Duration, meanwhile func()) {
	t.Helper()
	assert.NilError(t, process.Signal(syscall.SIGSTOP))
	meanwhile()
	over := time.NewTimer(span)
	defer over.Stop()
	<-over.C
	assert.NilError(t, process.Signal(syscall.SIGCONT))
}

func TestTimerOfAProcessThatRuns(t *testing.T) {
	t.Parallel()
	begun := time.Now()
	timer, over := NewTimer(time.Hour)
	timer.Reset(100 * time.Millisecond)
	<-over
	took := time.Since(begun)
	assert.Assert(t, took >= 95*time.Millisecond, "over after %v", took)
	assert.Assert(t, !timer.Stop(), "stopped after its end")

	timer.Reset(time.Hour)
	assert.Assert(t, timer.Stop())
	assert.Assert(t, !timer.Stop(), "stopped twice")
}

// Parts that all end late are waited for once more, and not without end.
func TestStarvedProcessIsNotPatientForEver(t *testing.T) {
	t.Parallel()
	isOver := false
	timer := &Timer{expired: func() { isOver = true }}
	timer.Reset(time.Hour)
	parts := 0
	for ; !isOver && parts < 100; parts++ {
		timer.due = time.Now().Add(-time.Hour)
		timer.ended()
	}
	assert.Equal(t, parts, 2*partCount)
}

func TestWhyALimitedContextEnded(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		limit time.Duration
		end   bool
		want  error
	}{
		"its limit":          {limit: time.Millisecond, want: context.DeadlineExceeded},
		"its caller's cause": {limit: time.Hour, end: true, want: context.Canceled},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			outer, end := context.WithCancel(context.Background())
			defer end()
			ctx, cancel := WithTimeout(outer, test.limit)
			defer cancel()
			if test.end {
				end()
			}
			<-ctx.Done()
			assert.ErrorIs(t, ctx.Err(), test.want)
			assert.ErrorIs(t, context.Cause(ctx), test.want)
		})
	}
}

func TestDeadline(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		at, least time.Duration // from now
	}{
		"the process runs":         {at: 80 * time.Millisecond, least: 75 * time.Millisecond},
		"it stood still meanwhile": {at: -time.Second, least: readyTime - 5*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begun, over := time.Now(), make(chan struct{})
			d := AtDeadline(begun.Add(test.at), func() { close(over) })
			<-over
			assert.Assert(t, time.Since(begun) >= test.least, "over after %v", time.Since(begun))
			assert.Assert(t, !d.Stop(), "stopped after its end")
		})
	}
	d := AtDeadline(time.Now().Add(time.Hour), func() { t.Error("over though stopped") })
	assert.Assert(t, d.Stop())
}
