package kvserver

import (
	"encoding/json"
	"errors"
	"net/http"
	"sort"
	"time"
)

var errNoCreateRequest = errors.New("watch without create_request")

// watch is one open watch.
type watch struct {
	keys   keyRange
	next   int64         // next revision to deliver
	notify chan struct{} // filled while there may be events to deliver
}

func (w *watch) signal() {
	select {
	case w.notify <- struct{}{}:
	default:
	}
}

func (s *store) openWatch(request *watchCreateRequest) (opened *watch, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := int64(request.StartRevision)
	if next <= 0 {
		next = s.revision + 1
	}
	opened = &watch{keys: keyRange{request.Key, request.RangeEnd}, next: next, notify: make(chan struct{}, 1)}
	opened.signal()
	s.watches[opened] = struct{}{}
	return opened, s.revision
}

func (s *store) closeWatch(w *watch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watches, w)
}

// pending returns the events that a watch has not delivered yet and advances
// the watch. A watch whose next revision is compacted gets a canceled response.
func (s *store) pending(w *watch, prevKV bool) watchResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	response := watchResponse{Header: s.header()}
	if w.next < s.compacted {
		response.Canceled = true
		response.CompactRevision = int64Text(s.compacted)
		response.CancelReason = errCompacted.Message
		return response
	}
	first := sort.Search(len(s.log), func(i int) bool { return s.log[i].modRevision >= w.next })
	for _, version := range s.log[first:] {
		if w.keys.contains(version.key) {
			response.Events = append(response.Events, version.event(prevKV))
		}
	}
	w.next = max(w.next, s.revision+1)
	return response
}

func (v *keyVersion) event(prevKV bool) watchEvent {
	event := watchEvent{KV: v.wire()}
	if v.deleted {
		event.Type = eventDelete
	}
	if prevKV {
		event.PrevKV = v.previous
	}
	return event
}

func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	request := &watchRequest{}
	if err := readRequest(r, request); err != nil {
		writeError(w, malformed(err))
		return
	}
	if request.Create == nil {
		writeError(w, malformed(errNoCreateRequest))
		return
	}
	if err := s.enterCall(r, kindWatch); err != nil {
		writeError(w, err)
		return
	}
	s.delay()
	opened, revision := s.store.openWatch(request.Create)
	defer s.store.closeWatch(opened)
	stream := newFrameStream(w)
	if !stream.send(watchResponse{Header: headerAt(revision), Created: true}) {
		return
	}
	s.serveWatch(r, stream, opened, request.Create)
}

func (s *Server) serveWatch(r *http.Request, stream *frameStream, opened *watch, request *watchCreateRequest) {
	progress := time.NewTicker(s.cfg.ProgressInterval)
	defer progress.Stop()
	for {
		faults, changed := s.faults.get()
		if faults.Down {
			abort()
		}
		notify, tick := opened.notify, progress.C
		if faults.BlackHole {
			notify, tick = nil, nil
		}
		due := false
		select {
		case <-r.Context().Done():
			return
		case <-s.closing:
			abort()
		case <-changed:
			continue
		case <-notify:
		case <-tick:
			due = request.ProgressNotify
		}
		if !s.deliver(stream, opened, request.PrevKV, due) {
			return
		}
	}
}

// deliver sends pending events; due sends a progress notice if there are none.
// It returns false when the watch has ended.
func (s *Server) deliver(stream *frameStream, opened *watch, prevKV, due bool) bool {
	response := s.store.pending(opened, prevKV)
	if len(response.Events) == 0 && !response.Canceled && !due {
		return true
	}
	s.delay()
	return stream.send(response) && !response.Canceled
}

// frameStream writes one JSON value per line and flushes each.
type frameStream struct {
	encoder    *json.Encoder
	controller *http.ResponseController
}

func newFrameStream(w http.ResponseWriter) *frameStream {
	w.Header().Set("Content-Type", "application/json")
	return &frameStream{encoder: json.NewEncoder(w), controller: http.NewResponseController(w)}
}

func (f *frameStream) send(response watchResponse) bool {
	return f.encoder.Encode(watchFrame{Result: response}) == nil && f.controller.Flush() == nil
}

func (s *store) openWatches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.watches)
}
