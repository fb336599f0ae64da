package etcdprovider

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/provider"
)

// pumpText runs a watch's reader over a text and returns what it delivers and
// why it ends.
func pumpText(t testing.TB, text string, fromRevision int64) (delivered []provider.Change, err error) {
	t.Helper()
	p, err := New(Config{Endpoints: []string{"http://127.0.0.1:0"}})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, p.Close()) }()
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	changes := make(chan []provider.Change)
	stream := newFrameReader(&http.Response{Body: io.NopCloser(strings.NewReader(text))})
	var group errgroup.Group
	group.Go(func() error {
		defer close(changes)
		return p.pump(ctx, cancel, stream, changes, fromRevision)
	})
	for batch := range changes {
		delivered = append(delivered, batch...)
	}
	return delivered, group.Wait()
}

func TestFrames(t *testing.T) {
	const at7 = `{"result":{"header":{"revision":"7"},"events":[{"kv":{"key":"YQ==","mod_revision":"7"}}]}}` + "\n"
	tests := map[string]struct {
		text string
		want error
		n    int
	}{
		"cut between frames": {text: at7, want: io.EOF, n: 1},
		"cut in a frame":     {text: at7 + `{"result":{"header"`, want: io.ErrUnexpectedEOF, n: 1},
		"progress":           {text: `{"result":{"header":{"revision":"9"}}}` + at7, want: io.EOF, n: 1},
		"goes back":          {text: at7 + strings.ReplaceAll(at7, `"7"`, `"6"`), want: errWentBack, n: 1},
		"before the start":   {text: strings.ReplaceAll(at7, `"7"`, `"4"`), want: errWentBack},
		"compacted":          {text: `{"result":{"canceled":true,"compact_revision":"9"}}`, want: provider.ErrCompacted},
		"canceled":           {text: `{"result":{"canceled":true,"cancel_reason":"x"}}`, want: errCanceled},
		"empty frame":        {text: `{}`, want: errAnswerIncomplete},
		"two in one revision": {
			text: `{"result":{"events":[{"kv":{"mod_revision":"8"}},{"type":"DELETE","kv":{"mod_revision":"8"}}]}}`,
			want: io.EOF, n: 2,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			delivered, err := pumpText(t, test.text, 5)
			assert.ErrorIs(t, err, test.want)
			assert.Equal(t, len(delivered), test.n)
		})
	}
}

func TestErrorFrame(t *testing.T) {
	_, err := pumpText(t, `{"error":{"http_code":503,"message":"etcdserver: no leader"}}`, 0)
	assert.Error(t, err, "status 503: etcdserver: no leader")
}

func TestPrefixRange(t *testing.T) {
	for name, test := range map[string]struct{ prefix, key, end string }{
		"plain":     {"a/", "a/", "a0"},
		"last byte": {"a\xff", "a\xff", "b"},
		"no next":   {"\xff\xff", "\xff\xff", "\x00"},
		"empty":     {"", "\x00", "\x00"},
	} {
		t.Run(name, func(t *testing.T) {
			key, end := prefixRange(test.prefix)
			assert.Equal(t, string(key), test.key)
			assert.Equal(t, string(end), test.end)
		})
	}
}

// FuzzFrames checks that no stream makes a watch panic, go back or end
// without a reason.
func FuzzFrames(f *testing.F) {
	f.Add(`{"result":{"header":{"revision":"7"},"events":[{"kv":{"key":"YQ==","mod_revision":"7"}}]}}`, int64(5))
	f.Add(`{"result":{"canceled":true,"compact_revision":"9"}}`, int64(0))
	f.Add(`{"result":{"events":[{"type":"DELETE","kv":{"mod_revision":"-1"}}]}}{"error":{}}`, int64(-5))
	f.Fuzz(func(t *testing.T, text string, from int64) {
		delivered, err := pumpText(t, text, from)
		assert.Assert(t, err != nil)
		newest := from
		for _, change := range delivered {
			assert.Assert(t, change.Entry.Revision >= newest)
			newest = change.Entry.Revision
		}
	})
}
