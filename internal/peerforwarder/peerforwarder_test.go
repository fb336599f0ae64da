package peerforwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/endivemast/endivemast/internal/classifier"
	"github.com/endivemast/endivemast/internal/dispatcher"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/scheduler"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// runFunc is what the receiving host does with a request.
type runFunc func(ctx context.Context, request dispatcher.OpaqueRequest, writer dispatcher.AnswerWriter) (dispatcher.PeerOutcome, error)

// pair is a host that passes requests to another one.
type pair struct {
	sender, receiver *Forwarder
	server           *grpc.Server

	mu       sync.Mutex
	counts   map[string]int // by direction and outcome
	share    float64        // that the receiver reaches
	version  int64          // of the receiver's configuration
	draining bool
}

// CountPeerForward implements Meter.
func (p *pair) CountPeerForward(isReceived bool, outcome string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts[map[bool]string{true: "received ", false: "passed "}[isReceived]+outcome]++
}

// CountExceededLimit implements Meter.
func (p *pair) CountExceededLimit(client, limit string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts[client+" "+limit]++
}

func newPair(t *testing.T, run runFunc) *pair {
	p := &pair{counts: map[string]int{}, share: 1, version: 7, server: grpc.NewServer()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p.receiver = New(Config{
		HostID: "receiver", Run: run, Meter: p, Logger: hclog.NewNullLogger(), ConfigurationVersion: func() int64 { return p.version },
		Classify:   func(string, string, string) (class classifier.Class, err error) { return class, nil },
		Share:      func(string) float64 { return p.share },
		IsDraining: func() bool { return p.draining },
	})
	p.receiver.Register(p.server)
	p.sender = New(Config{
		HostID: "sender", Meter: p, Logger: hclog.NewNullLogger(), ConfigurationVersion: func() int64 { return 7 },
		Share: func(string) float64 { return 0 },
		NewConn: func(_ string, options ...grpc.DialOption) (*grpc.ClientConn, error) {
			return grpc.NewClient(listener.Addr().String(), append(options, grpc.WithTransportCredentials(insecure.NewCredentials()))...)
		},
	})
	p.sender.SetPeers([]Peer{{HostID: "receiver", ConfigurationVersion: 7}}, time.Now())
	var group errgroup.Group
	group.Go(func() error { return p.server.Serve(listener) })
	t.Cleanup(func() {
		assert.Check(t, p.sender.Close())
		p.server.Stop()
		assert.Check(t, group.Wait())
	})
	return p
}

// emptyServer starts a server without services and returns its address.
func emptyServer(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	t.Cleanup(func() {
		server.Stop()
		assert.Check(t, group.Wait())
	})
	return listener.Addr().String()
}

func newRequest() *dispatcher.PeerRequest {
	return &dispatcher.PeerRequest{
		Request: &dispatcher.OpaqueRequest{
			ID: "r1", CallerAddress: "10.9.0.1", Tenant: "vitosha", Arrived: time.Now().Add(-time.Second), CallerTimeout: 5 * time.Second,
			Payload: driver.Payload{
				Method: http.MethodPost, Path: "/draft/x?a=1", Host: "h.example", Header: http.Header{"X-Many": {"a", "b"}},
				Body: bytes.Repeat([]byte("body"), 100_000),
			},
			Prompt: dispatcher.Prompt{
				Tokens: 17, MaxOutputTokens: 5, PrefixKey: "k", PrefixTokens: 9, PrefixParts: []scheduler.Part{{ID: "p", Tokens: 9}},
			},
		},
		Origin: dispatcher.Origin{Application: "letters", Runs: 1, Events: 2}, ResumeAfter: "2",
	}
}

func (p *pair) forward(ctx context.Context, request *dispatcher.PeerRequest) (dispatcher.PeerAnswer, error) {
	hostID, ok := p.sender.Choose(request)
	if !ok {
		return dispatcher.PeerAnswer{}, dispatcher.ErrNoPeer
	}
	return p.sender.Forward(ctx, hostID, request)
}

// The request and the answer arrive unchanged, and the sender learns what was done.
func TestRequestArrivesUnchanged(t *testing.T) {
	t.Parallel()
	var received dispatcher.OpaqueRequest
	body := strings.Repeat("answer", 100_000)
	p := newPair(t, func(_ context.Context, request dispatcher.OpaqueRequest, w dispatcher.AnswerWriter) (dispatcher.PeerOutcome, error) {
		received = request
		err := w.WriteHeader(dispatcher.AnswerHead{Status: 201, Header: http.Header{"Server-Signature": {"s"}}, Length: int64(len(body))})
		return dispatcher.PeerOutcome{IsComplete: true, Sends: 2, Runs: 2, EndpointID: "e1"}, errors.Join(err, w.Write([]byte(body)))
	})
	request := newRequest()
	answer, err := p.forward(context.Background(), request)
	assert.NilError(t, err)
	data, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	assert.NilError(t, answer.Body.Close())
	assert.Equal(t, string(data), body)
	assert.Equal(t, answer.Status, 201)
	assert.Equal(t, answer.Length, int64(len(body)))
	assert.DeepEqual(t, answer.Header, http.Header{"Server-Signature": {"s"}})
	outcome, ok := answer.Outcome()
	assert.Assert(t, ok)
	assert.DeepEqual(t, outcome, dispatcher.PeerOutcome{IsComplete: true, Sends: 2, Runs: 2, EndpointID: "e1"})

	sent := *request.Request
	age := time.Since(received.Arrived)
	assert.Check(t, age >= time.Second+deadlineMargin && age < 5*time.Second, "age is %s", age)
	received.Arrived, sent.Arrived = time.Time{}, time.Time{}
	sent.ResumeAfter = "2"
	assert.Check(t, received.Origin.RequestRun != nil)
	received.Origin.RequestRun = nil
	sent.Origin = &dispatcher.Origin{HostID: "sender", Application: "letters", Runs: 1, Events: 2}
	assert.DeepEqual(t, received, sent)
}

// A request that the receiver does not run comes back as not run, and any other one does not.
func TestOutcomes(t *testing.T) {
	t.Parallel()
	refused := &dispatcher.FailureError{
		RequestID: "r1", Outcome: dispatcher.OutcomeNotRun, Reason: "overload", RetryAfter: time.Second,
	}
	for name, test := range map[string]struct {
		arrange func(p *pair)
		run     runFunc
		reason  string
		outcome dispatcher.Outcome
		err     error
	}{
		"draining": {
			arrange: func(p *pair) { p.draining = true },
			reason:  dispatcher.ReasonPeerDraining, outcome: dispatcher.OutcomeNotRun,
		},
		"older configuration": {
			arrange: func(p *pair) { p.version = 6 },
			reason:  dispatcher.ReasonStaleConfiguration, outcome: dispatcher.OutcomeNotRun,
		},
		"reaches no endpoint either": {
			arrange: func(p *pair) { p.share = 0 },
			reason:  dispatcher.ReasonPeerHasNoPath, outcome: dispatcher.OutcomeNotRun,
		},
		"busy": {
			arrange: func(p *pair) { p.receiver.active.Store(maxActive) },
			reason:  dispatcher.ReasonPeerBusy, outcome: dispatcher.OutcomeNotRun,
		},
		"refused": {
			run: func(context.Context, dispatcher.OpaqueRequest, dispatcher.AnswerWriter) (dispatcher.PeerOutcome, error) {
				return dispatcher.PeerOutcome{Runs: 1, Failure: refused}, refused
			},
			reason: "overload", outcome: dispatcher.OutcomeNotRun,
		},
		"may have run": {
			run: func(context.Context, dispatcher.OpaqueRequest, dispatcher.AnswerWriter) (dispatcher.PeerOutcome, error) {
				failure := *refused
				failure.Outcome = dispatcher.OutcomeUnknown
				return dispatcher.PeerOutcome{Runs: 2, Failure: &failure}, &failure
			},
			reason: "overload", outcome: dispatcher.OutcomeUnknown,
		},
		"receiver of an earlier build": {
			arrange: func(p *pair) {
				p.sender.cfg.NewConn = func(_ string, options ...grpc.DialOption) (*grpc.ClientConn, error) {
					return grpc.NewClient(emptyServer(t), append(options, grpc.WithTransportCredentials(insecure.NewCredentials()))...)
				}
			},
			err: driver.ErrNotSent,
		},
		"receiver stops with the request": {
			arrange: func(p *pair) {
				p.receiver.cfg.Run = func(ctx context.Context, _ dispatcher.OpaqueRequest, _ dispatcher.AnswerWriter) (o dispatcher.PeerOutcome, err error) {
					p.server.Stop()
					return o, ctx.Err()
				}
			},
			err: driver.ErrOutcomeUnknown,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPair(t, test.run)
			if test.arrange != nil {
				test.arrange(p)
			}
			_, err := p.forward(context.Background(), newRequest())
			if test.err != nil {
				assert.ErrorIs(t, err, test.err)
				return
			}
			var failed *dispatcher.PeerError
			assert.Assert(t, errors.As(err, &failed), "%v", err)
			assert.Equal(t, failed.Outcome.Failure.Reason, test.reason)
			assert.Equal(t, failed.Outcome.Failure.Outcome, test.outcome)
			assert.Assert(t, failed.Outcome.Failure.RetryAfter > 0)
		})
	}
}

// An interrupted answer never looks complete.
func TestInterruptedAnswerIsNotComplete(t *testing.T) {
	t.Parallel()
	p := newPair(t, func(_ context.Context, _ dispatcher.OpaqueRequest, w dispatcher.AnswerWriter) (dispatcher.PeerOutcome, error) {
		err := errors.Join(w.WriteHeader(dispatcher.AnswerHead{Status: 200, Length: -1}), w.Write([]byte("first")))
		return dispatcher.PeerOutcome{IsPartial: true, Runs: 2}, err
	})
	answer, err := p.forward(context.Background(), newRequest())
	assert.NilError(t, err)
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	assert.Equal(t, string(data), "first")
	var failed *dispatcher.PeerError
	assert.Assert(t, errors.As(err, &failed), "%v", err)
	assert.Assert(t, failed.Outcome.IsPartial)
}

// A caller that leaves ends the work at the receiver.
func TestCancellationReachesReceiver(t *testing.T) {
	t.Parallel()
	started, ended := make(chan struct{}), make(chan struct{})
	p := newPair(t, func(ctx context.Context, _ dispatcher.OpaqueRequest, _ dispatcher.AnswerWriter) (o dispatcher.PeerOutcome, err error) {
		close(started)
		<-ctx.Done()
		close(ended)
		return o, ctx.Err()
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		_, err := p.forward(ctx, newRequest())
		return err
	})
	<-started
	cancel()
	<-ended
	assert.ErrorIs(t, group.Wait(), driver.ErrOutcomeUnknown)
}

// A caller that does not read delays no other caller, and only a bounded part of its answer is
// buffered.
func TestSlowCallerDelaysNobody(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	written := 0
	p := newPair(t, func(ctx context.Context, request dispatcher.OpaqueRequest, w dispatcher.AnswerWriter) (dispatcher.PeerOutcome, error) {
		if err := w.WriteHeader(dispatcher.AnswerHead{Status: 200, Length: -1}); err != nil {
			return dispatcher.PeerOutcome{}, err
		}
		for n := 0; request.ID == "slow" && n < 1000; n++ {
			if err := w.Write(make([]byte, 10_000)); err != nil {
				return dispatcher.PeerOutcome{}, err
			}
			mu.Lock()
			written += 10_000
			mu.Unlock()
		}
		return dispatcher.PeerOutcome{IsComplete: true}, ctx.Err()
	})
	slow := newRequest()
	slow.Request.ID = "slow"
	unread, err := p.forward(context.Background(), slow)
	assert.NilError(t, err)
	for range 20 {
		answer, err := p.forward(context.Background(), newRequest())
		assert.NilError(t, err)
		_, err = io.ReadAll(answer.Body)
		assert.NilError(t, err)
		assert.NilError(t, answer.Body.Close())
	}
	mu.Lock()
	assert.Check(t, written < 1_000_000, "%d bytes are buffered", written)
	mu.Unlock()
	assert.NilError(t, unread.Body.Close())
}

// Drain waits for the requests of peers, and connections are closed when they are not used.
func TestDrainWaits(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	p := newPair(t, func(_ context.Context, _ dispatcher.OpaqueRequest, w dispatcher.AnswerWriter) (dispatcher.PeerOutcome, error) {
		<-release
		return dispatcher.PeerOutcome{IsComplete: true}, w.WriteHeader(dispatcher.AnswerHead{Status: 200})
	})
	var group errgroup.Group
	group.Go(func() error {
		answer, err := p.forward(context.Background(), newRequest())
		if err != nil {
			return err
		}
		_, err = io.ReadAll(answer.Body)
		return errors.Join(err, answer.Body.Close())
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if p.receiver.active.Load() == 1 {
			return poll.Success()
		}
		return poll.Continue("request has not arrived")
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, p.receiver.Drain(ctx), context.DeadlineExceeded)
	close(release)
	assert.NilError(t, p.receiver.Drain(context.Background()))
	assert.NilError(t, group.Wait())
	p.sender.SetPeers(nil, time.Now())
	assert.Equal(t, len(p.sender.conns), 0)
}
