package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

var (
	errUnknownCase = errors.New("unknown case")
	errNoRun       = errors.New("no server has run the request")
)

// playedCase is what a case does with a deployment. It returns whether the rule was broken.
type playedCase func(ctx context.Context, d *deployment, hasTrouble bool) (isBroken bool, err error)

// runCase plays a case, with its disruption unless TROUBLE is 0.
func runCase(ctx context.Context, name, directory string) (code int, err error) {
	play, ok := map[string]playedCase{
		"restarted-engine": func(ctx context.Context, d *deployment, hasTrouble bool) (bool, error) {
			return playRestartedEngine(ctx, d, hasTrouble, false)
		},
		"supervised-engine": func(ctx context.Context, d *deployment, hasTrouble bool) (bool, error) {
			return playRestartedEngine(ctx, d, hasTrouble, true)
		},
		"killed-service": playKilledService,
	}[name]
	if !ok {
		return exitNotRun, fmt.Errorf("%w: %s", errUnknownCase, name)
	}
	ctx, cancel := context.WithTimeout(ctx, 100*time.Second)
	defer cancel()
	d, err := newDeployment(ctx, directory)
	if err != nil {
		return exitNotRun, err
	}
	defer d.close()
	isBroken, err := play(ctx, d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		d.record.write("the case could not run: %v", err)
		return exitNotRun, err
	case isBroken:
		d.record.write("result: the rule was broken")
		return exitBroken, nil
	default:
		d.record.write("result: the rule held")
		return exitHeld, nil
	}
}

// answer is what a client has received.
type answer struct {
	status    int
	signature string
	body      string
	err       error // of reading the answer: it does not look complete
}

// isComplete reports whether the answer looks like a complete success.
func (a *answer) isComplete() bool { return a.err == nil && a.status == http.StatusOK }

// call sends one request of a client.
func (d *deployment) call(ctx context.Context, h *host, id, method, path string, timeLimit time.Duration, headers ...string) (a answer) {
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.callers+path, strings.NewReader(""))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = "desk.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(timeLimit.Milliseconds(), 10))
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	d.record.write("client sends request %s (%s %s) to %s", id, method, path, h.name)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		a.err = err
		d.record.write("client gets no answer to %s: %v", id, err)
		return a
	}
	defer response.Body.Close()
	a.status, a.signature = response.StatusCode, response.Header.Get("Server-Signature")
	var body strings.Builder
	_, a.err = io.Copy(&body, response.Body)
	a.body = body.String()
	d.record.write("client gets the answer to %s: status %d, signature %q, %d bytes, end: %s", id, a.status, a.signature, len(a.body), a.end())
	return a
}

func (a *answer) end() string {
	if a.err != nil {
		return "broken off (" + a.err.Error() + ")"
	}
	return "complete"
}

// whole returns the body that a server has for each request.
func whole(settings *endpointSettings) string {
	var b strings.Builder
	for n := range settings.Pieces {
		b.WriteString(piece(settings.IsEngine, n+1))
	}
	return b.String()
}

// runnerOf waits until a server has written a piece of an answer.
func (d *deployment) runnerOf(found map[*server]<-chan struct{}) (*server, error) {
	for started := time.Now(); time.Since(started) < 4*time.Second; time.Sleep(time.Millisecond) {
		for s, done := range found {
			select {
			case <-done:
				return s, nil
			default:
			}
		}
	}
	return nil, errNoRun
}

// expectPiece returns, by server, when it has written a piece of the answer to a request.
func (d *deployment) expectPiece(id string, n, of int) map[*server]<-chan struct{} {
	found := map[*server]<-chan struct{}{}
	for _, s := range d.servers {
		found[s] = d.record.expect(fmt.Sprintf("%s writes piece %d of %d of %s", s.settings.ID, n, of, id))
	}
	return found
}

// verdict compares an answer with the whole body.
func (d *deployment) verdict(a *answer, want string) (isBroken bool) {
	return a.isComplete() && a.body != want
}

// playRestartedEngine has an engine killed, and started again under its id, while an entry host forwards a stream of
// it. Either the engine's supervisor keeps its listener open, or the entry host is stopped meanwhile.
func playRestartedEngine(ctx context.Context, d *deployment, hasTrouble, isSupervised bool) (isBroken bool, err error) {
	const pieces, gapMS = 24, 100
	for n := range 3 {
		settings := endpointSettings{ID: fmt.Sprintf("i-%d", n+1), IsEngine: true, Pieces: pieces, GapMS: gapMS, IsUnframed: true, HasListener: isSupervised}
		if err := d.addServer("assistant", settings); err != nil {
			return false, err
		}
	}
	for n := range 3 {
		if err := d.addHost(fmt.Sprintf("front-%d", n+1)); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second) // as long as a day has before its traffic
	const id = "9c41d07be2a35f68"
	running := d.expectPiece(id, 8, pieces)
	answers := make(chan answer, 1)
	go func() {
		answers <- d.call(ctx, d.hosts[0], id, http.MethodPost, "/consult/1", 5*time.Second,
			"Model", "m", "Token-Count", "1460,48", "Prompt-Prefix", "5c1e07a2:800,91bd3f06:660")
	}()
	engine, err := d.runnerOf(running)
	if err != nil {
		return false, err
	}
	switch {
	case hasTrouble && isSupervised:
		err = d.restart(engine)
	case hasTrouble:
		err = d.restartWhileStopped(engine, d.hosts[0].process)
	}
	if err != nil {
		return false, err
	}
	a := <-answers
	return d.verdict(&a, whole(&engine.settings)), nil
}

// restartWhileStopped kills an engine and starts it again under its id, while an entry host is stopped. With ONLY=freeze
// or ONLY=crash, only one of the two happens.
func (d *deployment) restartWhileStopped(engine *server, front *process) error {
	only := os.Getenv("ONLY")
	if only != "crash" {
		d.signal(front, syscall.SIGSTOP)
		defer d.signal(front, syscall.SIGCONT)
		time.Sleep(200 * time.Millisecond)
	}
	if only != "freeze" {
		if err := d.restart(engine); err != nil {
			return err
		}
	}
	time.Sleep(500 * time.Millisecond)
	return nil
}

// downTime is how long an engine is down.
const downTime = 500 * time.Millisecond

// restart kills an engine and starts it again under its id.
func (d *deployment) restart(engine *server) error {
	d.killServer(engine)
	time.Sleep(downTime)
	d.record.write("%s starts again under its id", engine.settings.ID)
	return d.startServer(engine)
}

// playKilledService has a plain service killed while it writes an answer without a length.
func playKilledService(ctx context.Context, d *deployment, hasTrouble bool) (isBroken bool, err error) {
	const pieces, gapMS = 35, 3 // 770 bytes in some 100 ms
	for n := range 3 {
		settings := endpointSettings{ID: fmt.Sprintf("i-%d", n+1), Pieces: pieces, GapMS: gapMS, IsUnframed: true}
		if err := d.addServer("desk", settings); err != nil {
			return false, err
		}
	}
	for n := range 3 {
		if err := d.addHost(fmt.Sprintf("front-%d", n+1)); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	const id = "9c41d07be2a35f69"
	running := d.expectPiece(id, 10, pieces)
	answers := make(chan answer, 1)
	go func() {
		answers <- d.call(ctx, d.hosts[0], id, http.MethodPost, "/confirm/1", time.Second)
	}()
	service, err := d.runnerOf(running)
	if err != nil {
		return false, err
	}
	if hasTrouble {
		d.killServer(service)
	}
	a := <-answers
	return d.verdict(&a, whole(&service.settings)), nil
}
