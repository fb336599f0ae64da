package dispatcher

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/classifier"
	"github.com/endivemast/endivemast/internal/configurer"
)

func TestStatedRunTime(t *testing.T) {
	t.Parallel()
	call := configurer.Class{Kind: configurer.KindCall, CompletionTargetMS: 300}
	stream := configurer.Class{Kind: configurer.KindGenerate, FirstTokenTargetMS: 400, BetweenTokensTargetMS: 100, CompletionTargetMS: 5000}
	for name, test := range map[string]struct {
		class         configurer.Class
		timeout       time.Duration // of the class
		callerTimeout time.Duration
		tokens        int
		want          time.Duration
	}{
		"call":                         {class: call, timeout: 5 * time.Second, want: 300 * time.Millisecond},
		"call of an impatient caller":  {class: call, timeout: 5 * time.Second, callerTimeout: 200 * time.Millisecond, want: 200 * time.Millisecond},
		"call without a target":        {class: configurer.Class{Kind: configurer.KindCall}, timeout: 5 * time.Second},
		"stream":                       {class: stream, timeout: 5 * time.Second, tokens: 10, want: 1400 * time.Millisecond},
		"stream of unknown length":     {class: stream, timeout: 5 * time.Second, want: 400 * time.Millisecond},
		"stream of too many tokens":    {class: stream, timeout: 5 * time.Second, tokens: 47, want: 5 * time.Second},
		"stream of very many tokens":   {class: stream, timeout: 5 * time.Second, tokens: 1 << 40, want: 5 * time.Second},
		"stream of a negative length":  {class: stream, timeout: 5 * time.Second, tokens: -1, want: 400 * time.Millisecond},
		"stream without a gap target":  {class: configurer.Class{Kind: configurer.KindGenerate, FirstTokenTargetMS: 400}, timeout: 5 * time.Second, tokens: 1 << 40, want: 400 * time.Millisecond},
		"stream without a class limit": {class: stream, callerTimeout: time.Second, tokens: 10, want: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			request := &OpaqueRequest{
				Class: classifier.Class{Class: test.class, Timeout: test.timeout}, CallerTimeout: test.callerTimeout, Prompt: Prompt{MaxOutputTokens: test.tokens},
			}
			assert.Equal(t, statedRunTime(request), test.want)
		})
	}
}

func TestCancelAll(t *testing.T) {
	t.Parallel()
	f := &Forwarder{running: map[*forwardedRequest]context.CancelCauseFunc{}}
	causes := map[string]error{}
	request := func(name string) *forwardedRequest {
		fr := &forwardedRequest{}
		f.running[fr] = func(cause error) { causes[name] = cause }
		return fr
	}
	waiting, begun := request("waiting"), request("begun")
	assert.NilError(t, begun.beginStream())
	f.CancelAll()
	assert.DeepEqual(t, causes, map[string]error{"waiting": errHostStops}, cmpopts.EquateErrors())
	assert.ErrorIs(t, waiting.beginStream(), errHostStops)
}

func TestRunTimes(t *testing.T) {
	t.Parallel()
	var times runTimes
	for n := range 200 {
		_, ok := times.expected("class")
		assert.Equal(t, ok, n >= minRunTimes)
		times.observe("class", time.Second+time.Duration(n%2)*200*time.Millisecond)
	}
	d, _ := times.expected("class")
	assert.Assert(t, d > 1200*time.Millisecond && d < 1400*time.Millisecond, "%s", d)
	for range 100 {
		times.observe("class", 5*time.Second)
	}
	d, _ = times.expected("class")
	assert.Assert(t, d > 4900*time.Millisecond && d < 6*time.Second, "%s", d)
	_, ok := times.expected("another")
	assert.Assert(t, !ok)
	for n := range 2 * maxRunTimeClasses {
		times.observe(fmt.Sprint(n), time.Second)
	}
	assert.Assert(t, len(times.byClass) <= maxRunTimeClasses)
}
