// Package recorder keeps the latest log lines about what a host knows: the store, its peers, the
// endpoints and the configuration.
//
// Lines about requests are far more frequent. Where only the end of a log is kept, they displace
// the lines that explain why a host sent a request to an endpoint. A host therefore logs the
// recorded lines again at intervals, and returns them in its status.
//
// # Usage
//
//	r := recorder.New(recorder.Config{Loggers: []string{"endivemast.follower"}})
//	logger := hclog.NewInterceptLogger(&hclog.LoggerOptions{Name: "endivemast"})
//	logger.RegisterSink(r)
//	logger.Info("recent state changes", "changes", r.Entries())
package recorder

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	maxEntries    = 96
	maxEntryBytes = 200
	// timeFormat leaves out the date, since entries expire after maxAge.
	timeFormat = "15:04:05.000"
	maxAge     = time.Minute
)

// Config configures a Recorder.
type Config struct {
	// Loggers are the names of the loggers whose lines are recorded.
	Loggers []string
	Now     func() time.Time // nil: time.Now
}

// Recorder implements hclog.SinkAdapter. It is safe for concurrent use.
type Recorder struct {
	now     func() time.Time
	loggers map[string]bool

	mu      sync.Mutex
	entries []entry // oldest first
}

type entry struct {
	at   time.Time
	text string
}

// New returns a Recorder without entries.
func New(cfg Config) *Recorder {
	r := &Recorder{now: cfg.Now, loggers: make(map[string]bool, len(cfg.Loggers))}
	if r.now == nil {
		r.now = time.Now
	}
	for _, name := range cfg.Loggers {
		r.loggers[name] = true
	}
	return r
}

// Accept implements hclog.SinkAdapter.
func (r *Recorder) Accept(name string, level hclog.Level, message string, args ...any) {
	if level < hclog.Info || !r.loggers[name] {
		return
	}
	now := r.now()
	text := format(now, name, message, args)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, entry{at: now, text: text})
	if excess := len(r.entries) - maxEntries; excess > 0 {
		r.entries = append(r.entries[:0], r.entries[excess:]...)
	}
}

// Entries returns the recorded lines that are not older than maxAge, oldest first.
func (r *Recorder) Entries() (texts []string) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if now.Sub(e.at) <= maxAge {
			texts = append(texts, e.text)
		}
	}
	return texts
}

func format(now time.Time, name, message string, args []any) string {
	var b strings.Builder
	b.WriteString(now.Format(timeFormat))
	b.WriteByte(' ')
	b.WriteString(name[strings.LastIndexByte(name, '.')+1:])
	b.WriteString(": ")
	b.WriteString(message)
	for i := 0; i+1 < len(args) && b.Len() < maxEntryBytes; i += 2 {
		fmt.Fprintf(&b, " %v=%v", args[i], args[i+1])
	}
	text := b.String()
	if len(text) > maxEntryBytes {
		text = strings.ToValidUTF8(text[:maxEntryBytes], "") + "..."
	}
	return text
}
