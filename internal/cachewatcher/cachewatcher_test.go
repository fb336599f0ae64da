package cachewatcher

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/driver"
)

// fakeEngine answers with what its script says, one call after the other, and
// then has no news.
type fakeEngine struct {
	driver.Forwarder

	mu     sync.Mutex
	news   []driver.CacheNews
	list   driver.CacheNews
	err    error
	asked  []int64 // numbers behind which news were asked for
	listed int
}

func (e *fakeEngine) CacheNews(ctx context.Context, _ driver.Target, since int64, wait time.Duration) (driver.CacheNews, error) {
	e.mu.Lock()
	e.asked = append(e.asked, since)
	if e.err != nil {
		defer e.mu.Unlock()
		return driver.CacheNews{}, e.err
	}
	if len(e.news) > 0 {
		defer e.mu.Unlock()
		news := e.news[0]
		e.news = e.news[1:]
		return news, nil
	}
	e.mu.Unlock()
	sleep(ctx, wait)
	return driver.CacheNews{}, ctx.Err()
}

func (e *fakeEngine) CacheList(context.Context, driver.Target) (driver.CacheNews, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listed++
	return e.list, nil
}

// heardNews is one call of Heard.
type heardNews struct {
	count   int
	isWhole bool
}

func TestWatcherHears(t *testing.T) {
	t.Parallel()
	one := []driver.CacheChange{{PartID: "a", Tokens: 5}}
	two := []driver.CacheChange{{PartID: "a", Tokens: 5}, {PartID: "b", Tokens: 7}}
	for name, test := range map[string]struct {
		engine *fakeEngine
		want   []heardNews
		asked  []int64
	}{
		"changes in turn": {
			&fakeEngine{news: []driver.CacheNews{{Epoch: "1", Next: 3, Changes: one}, {Epoch: "1", Next: 5, Changes: two}}},
			[]heardNews{{1, false}, {2, false}},
			[]int64{0, 3, 5},
		},
		"a gap has all read": {
			&fakeEngine{news: []driver.CacheNews{{Epoch: "1", Next: 90, HasGap: true, Changes: one}}, list: driver.CacheNews{Epoch: "1", Next: 95, Changes: two}},
			[]heardNews{{2, true}},
			[]int64{0, 95},
		},
		"so has a new start": {
			&fakeEngine{news: []driver.CacheNews{{Epoch: "1", Next: 3, Changes: one}, {Epoch: "2", Next: 1, Changes: one}}, list: driver.CacheNews{Epoch: "2", Next: 1}},
			[]heardNews{{1, false}, {0, true}},
			[]int64{0, 3, 1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			engine := test.engine
			heard := make(chan heardNews, 8)
			w := New(Config{Driver: engine, Logger: hclog.NewNullLogger(), Heard: func(_ driver.Target, news driver.CacheNews, isWhole bool) {
				heard <- heardNews{len(news.Changes), isWhole}
			}})
			w.SetTargets([]driver.Target{{EndpointID: "e1", Incarnation: "1"}})
			for _, want := range test.want {
				assert.Equal(t, <-heard, want)
			}
			awaitAsked(t, engine, len(test.asked))
			assert.NilError(t, w.Close())
			assert.DeepEqual(t, engine.asked[:len(test.asked)], test.asked)
		})
	}
}

func awaitAsked(t *testing.T, engine *fakeEngine, count int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		engine.mu.Lock()
		asked := len(engine.asked)
		engine.mu.Unlock()
		if asked >= count {
			return
		}
		sleep(ctx, time.Millisecond)
	}
	t.Fatal("engine was not asked so often")
}

// An engine that is gone is not asked any more, and one that fails not at once.
func TestWatcherLeavesEngines(t *testing.T) {
	t.Parallel()
	engine := &fakeEngine{err: errors.New("no room for the call")}
	w := New(Config{Driver: engine, Logger: hclog.NewNullLogger(), Heard: func(driver.Target, driver.CacheNews, bool) {}})
	w.SetTargets([]driver.Target{{EndpointID: "e1", Incarnation: "1"}})
	awaitAsked(t, engine, 1)
	w.SetTargets(nil)
	assert.NilError(t, w.Close())
	assert.Equal(t, len(engine.asked), 1)
	w.SetTargets([]driver.Target{{EndpointID: "e2", Incarnation: "1"}})
	assert.Equal(t, len(engine.asked), 1)
}
