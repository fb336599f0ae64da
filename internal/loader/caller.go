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

var errCallerLeft = errors.New("caller went away")

const (
	abandonDefault = 300 * time.Millisecond
	unknownWait    = 100 * time.Millisecond // before a caller asks again that was told "unknown"
)

// caller is one caller with one request, from its arrival to what it was
// told in the end.
type caller struct {
	scenario *Scenario
	class    *Class
	arrival  arrival
	sender   *sender
	balancer *balancer
	arrived  time.Time

	mu      sync.Mutex
	refused []time.Time // when the submissions were made that were told "not run"
}

// serve sends the request, again where the scenario says so, and returns the
// account of it.
func (c *caller) serve(ctx context.Context) record {
	ctx, cancel := context.WithDeadline(ctx, c.arrived.Add(c.scenario.AnswerTimeout))
	defer cancel()
	if c.arrival.abandon {
		var leave context.CancelCauseFunc
		ctx, leave = context.WithCancelCause(ctx)
		timer := time.AfterFunc(orDefault(c.class.AbandonAfter, abandonDefault), func() { leave(errCallerLeft) })
		defer timer.Stop()
	}
	if !c.class.Repeatable && c.class.KeySource == KeyTicket {
		if failed, ok := c.takeTicket(ctx); !ok {
			return c.account([]answer{failed}, time.Now())
		}
	}
	if !c.arrival.resend {
		return c.account([]answer{c.ask(ctx, "")}, time.Now())
	}
	return c.serveTwice(ctx)
}

// takeTicket asks entries in turn for a ticket.
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
		if failed.kind != answerNotSent && failed.kind != answerBroken {
			break
		}
	}
	if failed.kind == answerBroken {
		failed.kind = answerNotRun // no call was made with a ticket that never came
		failed.failure.Reason = "no_ticket"
	}
	return failed, false
}

// serveTwice asks a second host with the same key while the first is still
// busy with the request.
func (c *caller) serveTwice(ctx context.Context) record {
	answers := make([]answer, 2)
	ended := make([]time.Time, 2)
	var group errgroup.Group
	first, err := c.balancer.pick("")
	if err != nil {
		return c.account([]answer{noEntry(err)}, time.Now())
	}
	group.Go(func() error {
		answers[0] = c.askFrom(ctx, first)
		ended[0] = time.Now()
		return nil
	})
	group.Go(func() error {
		if waitUntil(ctx, time.Now().Add(c.class.ResendAfter)) {
			answers[1] = c.ask(ctx, first)
		} else {
			answers[1] = fromTransport(ctx, ctx.Err())
		}
		ended[1] = time.Now()
		return nil
	})
	_ = group.Wait()
	end := ended[0]
	if answers[0].kind != answerWhole && answers[1].kind == answerWhole {
		end = ended[1]
	}
	return c.account(answers, end)
}

// ask sends the request to a ready entry other than the one named.
func (c *caller) ask(ctx context.Context, except string) answer {
	address, err := c.balancer.pick(except)
	if err != nil {
		return noEntry(err)
	}
	return c.askFrom(ctx, address)
}

// askFrom sends the request to an entry, and to others when that one is not
// reached, breaks off, or refuses and the scenario says to come back.
func (c *caller) askFrom(ctx context.Context, address string) answer {
	var broken bool
	reconnects, connects, unknowns := *c.scenario.Reconnects, len(c.balancer.entries), c.scenario.RetryUnknown
	for {
		result := c.submit(ctx, address)
		switch {
		case result.kind == answerNotSent:
			c.balancer.failed(address)
			connects--
			if connects < 0 || ctx.Err() != nil {
				return c.notReached(result, broken)
			}
		case result.kind == answerBroken && reconnects > 0 && ctx.Err() == nil:
			reconnects--
			broken = true
		case result.kind == answerNotRun && c.scenario.RetryRefused && result.failure.RetryAfterMS > 0:
			back := time.Now().Add(time.Duration(result.failure.RetryAfterMS) * time.Millisecond)
			if !waitUntil(ctx, back) {
				return result
			}
		case result.kind == answerUnknown && unknowns > 0 && c.arrival.key != "":
			unknowns--
			broken = true
			if !waitUntil(ctx, time.Now().Add(unknownWait)) {
				return result
			}
		default:
			return maskNotRun(result, broken)
		}
		next, err := c.balancer.pick(address)
		if err != nil {
			return c.notReached(noEntry(err), broken)
		}
		address = next
	}
}

// submit makes one attempt at one entry, and notes when it is told "not run".
func (c *caller) submit(ctx context.Context, address string) answer {
	began := time.Now()
	result := c.send(ctx, address)
	if result.kind == answerNotRun {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.refused = append(c.refused, began)
	}
	return result
}

// notReached is the end of a request that no entry took.
func (c *caller) notReached(result answer, broken bool) answer {
	result.kind = answerNotRun
	if result.failure.Reason == "" {
		result.failure.Reason = "no_entry_reached"
	}
	return maskNotRun(result, broken)
}

// maskNotRun takes a "not run" about the last attempt as unknown when an
// earlier attempt broke off or was told "unknown": it speaks of its own attempt only.
func maskNotRun(result answer, broken bool) answer {
	if broken && result.kind == answerNotRun {
		result.kind = answerUnknown
	}
	return result
}

func noEntry(err error) answer {
	return answer{kind: answerNotRun, failure: failureBody{Reason: "no_entry_ready"}, detail: err.Error()}
}

// send makes one attempt at one entry.
func (c *caller) send(ctx context.Context, address string) answer {
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

// callBody is a call's body, different for each request.
func (c *caller) callBody() json.RawMessage {
	return fmt.Appendf(nil, `{"reference":"%s-%d","filler":%q}`,
		c.class.Name, c.arrival.number, strings.Repeat("x", c.class.BodyBytes))
}

// waitUntil waits for a time and says whether ctx lasted until then.
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
