package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// endpointSettings describe an engine or a plain service. They are passed as JSON.
type endpointSettings struct {
	ID       string `json:"id"`
	Address  string `json:"address"`
	IsEngine bool   `json:"is_engine"`
	BornMS   int64  `json:"born_ms"`
	// Pieces is the number of events of a stream, or of parts of an answer's body.
	Pieces int `json:"pieces"`
	// GapMS is the pause between two pieces.
	GapMS int `json:"gap_ms"`
	// IsUnframed is true if answers have no length and end with their connection.
	IsUnframed bool `json:"is_unframed"`
	// HasListener is true if the supervisor of the process passes it the open listener, and keeps it open while
	// the process is down, so that connections of that time wait.
	HasListener bool `json:"has_listener"`
}

// endpoint is a stand-in for an engine or a plain service. It writes a line to its standard output for each
// request that it begins to run, and for each piece that it has written.
type endpoint struct {
	settings endpointSettings

	mu       sync.Mutex
	stage    string
	sequence int64
	running  int
}

func runEndpoint(ctx context.Context, encoded string) error {
	e := &endpoint{stage: "decode"}
	if err := json.Unmarshal([]byte(encoded), &e.settings); err != nil {
		return err
	}
	listener, err := e.listen(ctx)
	if err != nil {
		return err
	}
	defer listener.Close()
	e.log("listens", "at "+e.settings.Address)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go e.serve(conn)
	}
}

// listen returns the listener of the supervisor, or a new one.
func (e *endpoint) listen(ctx context.Context) (net.Listener, error) {
	if !e.settings.HasListener {
		return (&net.ListenConfig{}).Listen(ctx, "tcp", e.settings.Address)
	}
	file := os.NewFile(inheritedListener, "listener")
	defer func() { _ = file.Close() }() // the listener has a copy
	return net.FileListener(file)
}

// inheritedListener is the descriptor of a listener that a supervisor passes on.
const inheritedListener = 3

// serve serves the requests of one connection, one at a time.
func (e *endpoint) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the answers are written
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !e.answer(conn, request, body) {
			return
		}
	}
}

// answer answers one request. It returns false if the connection ends with the answer.
func (e *endpoint) answer(conn net.Conn, request *http.Request, body []byte) bool {
	expected := request.Header.Get("Expected-Instance")
	switch {
	case expected != "" && expected != e.settings.ID:
		return e.write(conn, request, http.StatusMisdirectedRequest, "", "Instance-Id: "+e.settings.ID)
	case request.URL.Path == "/health":
		return e.write(conn, request, http.StatusOK, "", "Instance-Id: "+e.settings.ID)
	case !strings.HasPrefix(request.URL.Path, "/api/"):
		return e.run(conn, request)
	case !e.settings.IsEngine:
		return e.write(conn, request, http.StatusNotFound, "")
	default:
		return e.control(conn, request, body)
	}
}

// control answers a call about an engine itself.
func (e *endpoint) control(conn net.Conn, request *http.Request, body []byte) bool {
	e.mu.Lock()
	report := fmt.Sprintf(`{"stage":%q,"models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":%d,"waiting":0,"running":%d,"kv_used":0,"kv_total":520717,"kv_handles":0,"born":%d}`,
		e.stage, e.sequence, e.running, e.settings.BornMS)
	e.mu.Unlock()
	switch request.URL.Path {
	case "/api/report":
		return e.write(conn, request, http.StatusOK, report)
	case "/api/order":
		return e.write(conn, request, e.order(body), "")
	case "/api/kv-events":
		wait, _ := strconv.Atoi(request.Header.Get("Wait-Ms")) // absent: no wait
		time.Sleep(time.Duration(min(wait, 1000)) * time.Millisecond)
		return e.write(conn, request, http.StatusOK, fmt.Sprintf(`{"epoch":%d,"next":0,"lost":false,"events":[]}`, e.settings.BornMS))
	case "/api/kv-list":
		return e.write(conn, request, http.StatusOK, fmt.Sprintf(`{"epoch":%d,"next":0,"held":[]}`, e.settings.BornMS))
	default:
		return e.write(conn, request, http.StatusOK, "")
	}
}

// order changes the stage, and returns the status of the answer.
func (e *endpoint) order(body []byte) int {
	var message struct {
		Stage    string `json:"stage"`
		Holder   string `json:"holder"`
		Fence    *int64 `json:"fencing_token"`
		Expected *int64 `json:"expected"`
	}
	if err := json.Unmarshal(body, &message); err != nil || message.Holder == "" || message.Fence == nil {
		return http.StatusBadRequest
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case message.Expected != nil && *message.Expected != e.sequence:
		return http.StatusConflict
	case message.Stage == e.stage:
		return http.StatusOK
	}
	e.stage = message.Stage
	e.sequence++
	return http.StatusAccepted
}

// run runs a request of a client.
func (e *endpoint) run(conn net.Conn, request *http.Request) bool {
	id := request.Header.Get("Request-Id")
	if request.Header.Get("Serving-Stage") == "prefill" {
		return e.write(conn, request, http.StatusOK, fmt.Sprintf(`{"kv_handle":"%x","tokens":1,"version":1}`, time.Now().UnixNano()))
	}
	e.mu.Lock()
	e.running++
	e.mu.Unlock()
	e.log("runs", id)
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	if e.settings.IsUnframed {
		return e.writePieces(conn, request, id)
	}
	var whole strings.Builder
	for n := range e.settings.Pieces {
		whole.WriteString(e.piece(n + 1))
	}
	return e.write(conn, request, http.StatusOK, whole.String())
}

// writePieces writes an answer without a length, piece by piece. It ends with its connection.
func (e *endpoint) writePieces(conn net.Conn, request *http.Request, id string) bool {
	contentType := "application/octet-stream"
	if e.settings.IsEngine {
		contentType = "text/event-stream"
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: %s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n",
		request.Header.Get("Request-Id"), e.signature(), contentType)
	if _, err := io.WriteString(conn, head); err != nil {
		return false
	}
	for n := range e.settings.Pieces {
		if n > 0 {
			time.Sleep(time.Duration(e.settings.GapMS) * time.Millisecond)
		}
		if _, err := io.WriteString(conn, e.piece(n+1)); err != nil {
			e.log("breaks off", id)
			return false
		}
		e.log("writes piece "+strconv.Itoa(n+1)+" of "+strconv.Itoa(e.settings.Pieces)+" of", id)
	}
	e.log("completes", id)
	return false
}

// piece returns the n-th piece of each answer.
func (e *endpoint) piece(n int) string { return piece(e.settings.IsEngine, n) }

// piece returns an event of a stream, or a part of the body of another answer.
func piece(isEvent bool, n int) string {
	if isEvent {
		return fmt.Sprintf("id: %d\ndata: token-%d\n\n", n, n)
	}
	return fmt.Sprintf("part %4d of the body;", n)
}

// signature marks the answers of this process.
func (e *endpoint) signature() string { return fmt.Sprintf("%s.%d", e.settings.ID, e.settings.BornMS) }

// write writes a complete answer with a length.
func (e *endpoint) write(conn net.Conn, request *http.Request, status int, body string, headers ...string) bool {
	b := &strings.Builder{}
	fmt.Fprintf(b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id := request.Header.Get("Request-Id"); id != "" {
		fmt.Fprintf(b, "Request-Id: %s\r\nServer-Signature: %s\r\n", id, e.signature())
	}
	for _, header := range headers {
		b.WriteString(header + "\r\n")
	}
	fmt.Fprintf(b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_, err := io.WriteString(conn, b.String())
	return err == nil
}

func (e *endpoint) log(event, id string) {
	fmt.Fprintf(os.Stdout, "%s %s %s\n", e.settings.ID, event, id)
}
