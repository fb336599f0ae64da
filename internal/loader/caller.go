package loader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/endivemast/endivemast/standins/answerer"
)

var errAbandoned = errors.New("request abandoned by the caller")

const (
	defaultAbandonAfter = 300 * time.Millisecond
	unknownRetryDelay   = 100 * time.Millisecond // before a request with an unknown outcome is sent again
)

// caller simulates one caller that sends one request, with its retries, until
// the request ends.
type caller struct {
	scenario *Scenario
	class    *Class
	arrival  arrival
	sender   *sender
	balancer *balancer
	arrived  time.Time

	mu        sync.Mutex
	refusedAt []time.Time // start times of the attempts that were reported as not run
}

// serve sends the request, with the retries and resends that the scenario
// configures, and returns its record.
func (c *caller) serve(ctx context.Context) record {
	ctx, cancel := context.WithDeadline(ctx, c.arrived.Add(c.scenario.AnswerTimeout))
	defer cancel()
	if c.arrival.abandon {
		var abandon context.CancelCauseFunc
		ctx, abandon = context.WithCancelCause(ctx)
		timer := time.AfterFunc(orDefault(c.class.AbandonAfter, defaultAbandonAfter), func() { abandon(errAbandoned) })
		defer timer.Stop()
	}
	if !c.class.Repeatable && c.class.KeySource == KeyTicket {
		if failed, ok := c.takeTicket(ctx); !ok {
			return c.makeRecord([]answer{failed}, time.Now())
		}
	}
	if !c.arrival.resend {
		return c.makeRecord([]answer{c.sendExcept(ctx, "")}, time.Now())
	}
	return c.serveResend(ctx)
}

// takeTicket requests a ticket from the entry hosts, one after another, and
// uses it as the idempotency key.
func (c *caller) takeTicket(ctx context.Context) (failed answer, ok bool) {
	for range len(c.balancer.entries) {
		address, err := c.balancer.pick("")
		if err != nil {
			return noEntry(err), false
		}
		ticket, answer, err := c.sender.ticket(ctx, address, c.class.Tenant)
		if err == nil {
			c.arrival.key = ticket
			return answer, true
		}
		failed = answer
		if failed.kind != answerNotSent && failed.kind != answerNoOutcome {
			break
		}
	}
	if failed.kind == answerNoOutcome {
		failed.kind = answerNotRun // without a ticket no call was sent
		failed.failure.Reason = "no_ticket"
	}
	return failed, false
}

// serveResend sends the request to a second host with the same key while the
// first may still be processing it.
func (c *caller) serveResend(ctx context.Context) record {
	answers := make([]answer, 2)
	ended := make([]time.Time, 2)
	var group errgroup.Group
	first, err := c.balancer.pick("")
	if err != nil {
		return c.makeRecord([]answer{noEntry(err)}, time.Now())
	}
	group.Go(func() error {
		answers[0] = c.sendWithRetries(ctx, first)
		ended[0] = time.Now()
		return nil
	})
	group.Go(func() error {
		if waitUntil(ctx, time.Now().Add(c.class.ResendAfter)) {
			answers[1] = c.sendExcept(ctx, first)
		} else {
			answers[1] = fromTransport(ctx, ctx.Err())
		}
		ended[1] = time.Now()
		return nil
	})
	_ = group.Wait()
	end := ended[0]
	if answers[0].kind != answerComplete && answers[1].kind == answerComplete {
		end = ended[1]
	}
	return c.makeRecord(answers, end)
}

// sendExcept sends the request to a ready entry host other than except.
func (c *caller) sendExcept(ctx context.Context, except string) answer {
	address, err := c.balancer.pick(except)
	if err != nil {
		return noEntry(err)
	}
	return c.sendWithRetries(ctx, address)
}

// sendWithRetries sends the request to an entry host. It tries others when the
// host can't be reached, the connection breaks, or the scenario enables retries
// after a refusal or an unknown outcome.
func (c *caller) sendWithRetries(ctx context.Context, address string) answer {
	var mayHaveRun bool
	reconnects, connects, unknowns := *c.scenario.Reconnects, len(c.balancer.entries), c.scenario.RetryUnknown
	for {
		result := c.submit(ctx, address)
		switch {
		case result.kind == answerNotSent:
			c.balancer.markUnready(address)
			connects--
			if connects < 0 || ctx.Err() != nil {
				return c.notReached(result, mayHaveRun)
			}
		case result.kind == answerNoOutcome && reconnects > 0 && ctx.Err() == nil:
			reconnects--
			mayHaveRun = true
		case result.kind == answerNotRun && c.scenario.RetryRefused && result.failure.RetryAfterMS > 0:
			retryAt := time.Now().Add(time.Duration(result.failure.RetryAfterMS) * time.Millisecond)
			if !waitUntil(ctx, retryAt) {
				return result
			}
		case result.kind == answerUnknown && unknowns > 0 && c.arrival.key != "":
			unknowns--
			mayHaveRun = true
			if !waitUntil(ctx, time.Now().Add(unknownRetryDelay)) {
				return result
			}
		default:
			return maskNotRun(result, mayHaveRun)
		}
		next, err := c.balancer.pick(address)
		if err != nil {
			return c.notReached(noEntry(err), mayHaveRun)
		}
		address = next
	}
}

// submit makes one attempt at one entry host and records its start time when
// the attempt is reported as not run.
func (c *caller) submit(ctx context.Context, address string) answer {
	startedAt := time.Now()
	result := c.sendOnce(ctx, address)
	if result.kind == answerNotRun {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.refusedAt = append(c.refusedAt, startedAt)
	}
	return result
}

// notReached returns the answer for a request that no entry host accepted.
func (c *caller) notReached(result answer, mayHaveRun bool) answer {
	result.kind = answerNotRun
	if result.failure.Reason == "" {
		result.failure.Reason = "no_entry_reached"
	}
	return maskNotRun(result, mayHaveRun)
}

// maskNotRun turns "not run" for the last attempt into an unknown outcome when
// an earlier attempt may have run, because "not run" covers only its own attempt.
func maskNotRun(result answer, mayHaveRun bool) answer {
	if mayHaveRun && result.kind == answerNotRun {
		result.kind = answerUnknown
	}
	return result
}

func noEntry(err error) answer {
	return answer{kind: answerNotRun, failure: failureBody{Reason: "no_entry_ready"}, detail: err.Error()}
}

// sendOnce makes one attempt at one entry host.
func (c *caller) sendOnce(ctx context.Context, address string) answer {
	if c.class.Kind == KindCall {
		return c.sender.call(ctx, address, c.class, c.arrival.key, c.callBody())
	}
	body := generateBody{
		Prompt:          c.arrival.prompt(c.class),
		PrefixKey:       c.arrival.prefixKey(c.class),
		MaxOutputTokens: c.arrival.maxOutputTokens,
	}
	if body.PrefixKey != "" {
		body.PrefixTokens = c.class.TemplateTokens
	}
	want := answerer.Answer(c.class.Application, body.Prompt, body.MaxOutputTokens)
	if c.class.Stream {
		return c.sender.stream(ctx, address, c.class, body, want)
	}
	return c.sender.generate(ctx, address, c.class, body, want)
}

// callBody returns the body of a call. It differs for each request.
func (c *caller) callBody() json.RawMessage {
	return fmt.Appendf(nil, `{"reference":"%s-%d","filler":%q}`,
		c.class.Name, c.arrival.number, strings.Repeat("x", c.class.BodyBytes))
}

// waitUntil waits until a time. It returns false when ctx ends first.
func waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func orDefault(d, other time.Duration) time.Duration {
	if d == 0 {
		return other
	}
	return d
}
