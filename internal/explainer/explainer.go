// Package explainer extracts the trace of one request, or a summary of all
// requests, from the logs of the entry hosts.
//
// A trace holds the log lines with the request's id. Its context holds the
// latest earlier lines of the same hosts about the endpoints that the trace
// names, and about what affects every request: the configuration in force, the
// store, and the start and drain of the host.
//
// # Usage
//
//	trace, err := explainer.Explain("9c41d07be2a35f68", explainer.Source{Name: "entry-1", Log: file})
//	err = trace.Print(os.Stdout)
package explainer

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxLineBytes is the longest log line that is read. The program itself writes none that is
// longer.
const maxLineBytes = 1 << 20

// ErrUnknownRequest reports that no line has the request id: the request has not reached a
// host whose log was given, or its lines were dropped under load.
var ErrUnknownRequest = errors.New("no log line has this request id")

// Source is one host's log.
type Source struct {
	Name string // name of the host in the output
	Log  io.Reader
}

// Line is one log line.
type Line struct {
	Host    string
	At      time.Time
	Message string
	Fields  map[string]any // other than time, level, module and message
}

// Trace holds the log lines that concern one request, ordered by time.
type Trace struct {
	Context []Line // what its hosts had logged before, the latest line of each kind
	Lines   []Line // lines with the request id
}

// hostMessages are the messages about events that affect every request of a host.
var hostMessages = []string{
	"configuration in force", "store lost", "store regained", "entry host started", "drain begun", "entry host stops",
	"own entry lapsed; writing it again", "host was away",
}

// Explain reads logs and returns the trace of one request. It fails with ErrUnknownRequest, or
// when a log can't be read.
func Explain(requestID string, sources ...Source) (trace Trace, err error) {
	defer func() { err = eris.Wrapf(err, "explain request %q", requestID) }()
	for _, source := range sources {
		lines, err := readLog(source)
		if err != nil {
			return Trace{}, err
		}
		own := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return l.Fields["request_id"] != requestID })
		if len(own) == 0 {
			continue
		}
		trace.Lines = append(trace.Lines, own...)
		trace.Context = append(trace.Context, contextLines(lines, own)...)
	}
	if len(trace.Lines) == 0 {
		return Trace{}, ErrUnknownRequest
	}
	slices.SortStableFunc(trace.Lines, compareTime)
	slices.SortStableFunc(trace.Context, compareTime)
	return trace, nil
}

func compareTime(a, b Line) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) }

// readLog decodes a log. Text before the JSON object of a line is skipped, because log
// collectors add names and times there. Lines without an object are skipped too.
func readLog(source Source) (lines []Line, err error) {
	defer func() { err = eris.Wrapf(err, "read log of %s", source.Name) }()
	scanner := bufio.NewScanner(source.Log)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		_, object, ok := strings.Cut(scanner.Text(), "{")
		if !ok {
			continue
		}
		fields := map[string]any{}
		if err := json.Unmarshal([]byte("{"+object), &fields); err != nil {
			continue // truncated, or written by another program
		}
		line := Line{Host: source.Name, Fields: fields}
		line.Message, _ = fields["@message"].(string)
		at, _ := fields["@timestamp"].(string)
		if line.At, err = time.Parse(time.RFC3339Nano, at); err != nil || line.Message == "" {
			continue // not a log line of this program
		}
		for _, name := range []string{"@message", "@timestamp", "@level", "@module"} {
			delete(fields, name)
		}
		lines = append(lines, line)
	}
	return lines, scanner.Err()
}

// contextLines returns the latest lines before the end of a request that concern its
// endpoints, the same request under other ids, or the whole host: one line for each message
// and endpoint.
func contextLines(lines, own []Line) (found []Line) {
	endpoints, fingerprints, end := map[string]bool{}, map[string]bool{}, own[len(own)-1].At
	for _, line := range own {
		if name, ok := line.Fields["request_name"].(string); ok {
			fingerprints[name] = true
		}
		for _, name := range []string{"endpoint_id", "prefill_endpoint_id"} {
			if id, ok := line.Fields[name].(string); ok && id != "" {
				endpoints[id] = true
			}
		}
	}
	latest := map[string]Line{}
	for _, line := range lines {
		id, _ := line.Fields["endpoint_id"].(string)
		name, _ := line.Fields["request_name"].(string)
		_, isRequest := line.Fields["request_id"]
		isRelated := endpoints[id] || fingerprints[name] || slices.Contains(hostMessages, line.Message)
		if line.At.After(end) || isRequest || !isRelated {
			continue
		}
		latest[line.Message+" "+id] = line
	}
	return slices.Collect(maps.Values(latest))
}

// Print writes the trace as text: first the context, then the lines of the request, each with
// its time relative to the first line of the request.
func (s *Trace) Print(w io.Writer) (err error) {
	start := s.Lines[0].At
	section := func(title string, lines []Line) {
		if err == nil {
			_, err = fmt.Fprintln(w, title)
		}
		for _, line := range lines {
			if err == nil {
				_, err = fmt.Fprintf(w, "%10.3f s  %s  %s%s\n", line.At.Sub(start).Seconds(), line.Host, line.Message, formatFields(line))
			}
		}
	}
	section("What the hosts had learnt before (the latest line of each kind):", s.Context)
	section("The request:", s.Lines)
	return err
}

func formatFields(line Line) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
		if name != "request_id" {
			fmt.Fprintf(&b, "  %s=%v", name, line.Fields[name])
		}
	}
	return b.String()
}
