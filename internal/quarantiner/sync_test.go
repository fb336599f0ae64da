package quarantiner

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestFirstRequestsWaitForPeersQuarantines guards against a host that runs requests before it knows which ones are quarantined.
func TestFirstRequestsWaitForPeersQuarantines(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		fetchTime time.Duration
		listTime  time.Duration // until the peers are known
		arrival   time.Duration // of the first request
		fetchErr  error
		callerFor time.Duration // until the caller goes away; 0: never
		wait      time.Duration
		isSynced  bool
	}{
		"peers answer":                                 {fetchTime: 200 * time.Millisecond, wait: 200 * time.Millisecond, isSynced: true},
		"no peer answers":                              {fetchTime: time.Hour, wait: maxSyncWait, isSynced: true},
		"peers can't be asked":                         {fetchTime: 100 * time.Millisecond, fetchErr: errors.New("no peers"), wait: 100 * time.Millisecond, isSynced: true},
		"peers answer before a request arrives":        {fetchTime: 200 * time.Millisecond, arrival: 250 * time.Millisecond, isSynced: true},
		"no peer has answered until a request arrives": {fetchTime: time.Hour, arrival: 200 * time.Millisecond, wait: maxSyncWait - 200*time.Millisecond, isSynced: true},
		"peers are listed late":                        {fetchTime: 50 * time.Millisecond, listTime: 100 * time.Millisecond, wait: 150 * time.Millisecond, isSynced: true},
		"peers are listed just before the wait ends":   {fetchTime: 200 * time.Millisecond, listTime: 290 * time.Millisecond, wait: 490 * time.Millisecond, isSynced: true},
		"peers are listed late, and none answers":      {fetchTime: time.Hour, listTime: 200 * time.Millisecond, wait: 200*time.Millisecond + maxSyncWait, isSynced: true},
		"peers are not listed":                         {listTime: time.Hour, wait: maxSyncWait, isSynced: true},
		"caller gives up before":                       {fetchTime: time.Hour, callerFor: 50 * time.Millisecond, wait: 50 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				listed := make(chan struct{})
				time.AfterFunc(test.listTime, func() { close(listed) })
				q := New(Config{PeersListed: func() <-chan struct{} { return listed }, Hosts: func() []string { return nil }, Fetch: func(ctx context.Context) error {
					select {
					case <-time.After(test.fetchTime):
						return test.fetchErr
					case <-ctx.Done():
						return ctx.Err()
					}
				}})
				q.Start()
				defer func() { assert.NilError(t, q.Close()) }()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if test.callerFor > 0 {
					time.AfterFunc(test.callerFor, cancel)
				}
				synctest.Wait()
				<-time.After(test.arrival)
				started := time.Now()
				q.AwaitSync(ctx)
				assert.Equal(t, time.Since(started), test.wait)
				q.AwaitSync(ctx)
				assert.Equal(t, time.Since(started), test.wait, "a later request waits")
				_, isComplete := q.Snapshot()
				assert.Equal(t, isComplete, test.isSynced)
			})
		})
	}
}
