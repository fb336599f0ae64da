package recorder

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

type fakeTime struct{ now time.Time }

func newRecorder() (r *Recorder, clock *fakeTime, root hclog.InterceptLogger) {
	clock = &fakeTime{now: time.Date(2026, 1, 2, 3, 4, 5, 6e6, time.UTC)}
	r = New(Config{Loggers: []string{"root.follower"}, Now: func() time.Time { return clock.now }})
	root = hclog.NewInterceptLogger(&hclog.LoggerOptions{Name: "root", Output: io.Discard})
	root.RegisterSink(r)
	return r, clock, root
}

func TestRecordsStateLinesOnly(t *testing.T) {
	t.Parallel()
	r, clock, root := newRecorder()
	follower := root.Named("follower")
	follower.Warn("store lost", "error", errors.New("no answer"), "revision", 34)
	follower.Debug("store queried")
	root.Named("dispatcher").Info("request served")
	clock.now = clock.now.Add(maxAge)
	follower.Info("store regained")
	assert.DeepEqual(t, r.Entries(), []string{
		"03:04:05.006 follower: store lost error=no answer revision=34",
		"03:05:05.006 follower: store regained",
	})
	clock.now = clock.now.Add(time.Second)
	assert.DeepEqual(t, r.Entries(), []string{"03:05:05.006 follower: store regained"})
}

func TestRecordIsBounded(t *testing.T) {
	t.Parallel()
	r, _, root := newRecorder()
	for i := range 3 * maxEntries {
		root.Named("follower").Info("change", "n", i, "text", strings.Repeat("ü", maxEntryBytes))
	}
	entries := r.Entries()
	assert.Equal(t, len(entries), maxEntries)
	assert.Assert(t, strings.Contains(entries[0], fmt.Sprintf("n=%d ", 2*maxEntries)), entries[0])
	for _, text := range entries {
		assert.Assert(t, len(text) <= maxEntryBytes+len("..."), text)
	}
}
