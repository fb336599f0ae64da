package engineserver

import (
	"net/http"
	"strconv"
	"time"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/httpdriver"
	"github.com/endivemast/endivemast/standins/hoster"
)

// mismatchedID is the attempt id in a mismatched answer when no other attempt is
// running.
const mismatchedID = "another-attempt"

func (s *Server) handler(ready <-chan struct{}) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+httpdriver.PathGenerate, s.withFaults(s.serveWork(workGenerate)))
	mux.HandleFunc("POST "+httpdriver.PathPrefill, s.withFaults(s.serveWork(workExport)))
	mux.HandleFunc("POST "+httpdriver.PathCancel, s.withFaults(s.serveCancel))
	mux.HandleFunc("POST "+httpdriver.PathOrders, s.withFaults(s.serveOrder))
	mux.HandleFunc("GET "+httpdriver.PathReport, s.withFaults(s.serveReport))
	mux.HandleFunc("GET /kv/{handle}", s.withFaults(s.serveKV))
	mux.HandleFunc("POST /drain", func(http.ResponseWriter, *http.Request) { s.SetDraining(true) })
	mux.HandleFunc("DELETE /drain", func(http.ResponseWriter, *http.Request) { s.SetDraining(false) })
	mux.HandleFunc("GET "+httpdriver.PathOrders, func(w http.ResponseWriter, _ *http.Request) {
		hoster.WriteJSON(w, http.StatusOK, s.Orders())
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		hoster.WriteJSON(w, http.StatusOK, s.Stats())
	})
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		hoster.WriteJSON(w, http.StatusOK, s.Faults())
	})
	mux.HandleFunc("DELETE /faults", func(http.ResponseWriter, *http.Request) { s.SetFaults(Faults{}) })
	mux.HandleFunc("POST /faults", s.serveFaults)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-ready
		mux.ServeHTTP(w, r)
	})
}

// withFaults applies the faults down and hang before a handler runs.
func (s *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.Faults().Down || !s.awaitNoHang(r.Context().Done()) {
			hoster.ResetConn(w)
			return
		}
		next(w, r)
	}
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	faults := s.Faults()
	if err := hoster.ReadJSON(w, r, &faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	hoster.WriteJSON(w, http.StatusOK, faults)
}

func (s *Server) serveWork(kind work) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var call driver.GenerateCall
		if err := hoster.ReadJSON(w, r, &call); err != nil {
			refuse(w, http.StatusBadRequest, httpdriver.ErrorMessage{Code: httpdriver.CodeMalformed, Detail: err.Error()})
			return
		}
		s.countAttempt(call.AttemptID)
		q := newSequence(call, kind)
		s.fetchImport(r, q)
		if code := s.enqueue(q); code != "" {
			refuse(w, http.StatusServiceUnavailable, httpdriver.ErrorMessage{AttemptID: call.AttemptID, Code: code})
			return
		}
		s.stream(w, r, q)
	}
}

// refuse sends an error which states that the call was not run.
func refuse(w http.ResponseWriter, status int, message httpdriver.ErrorMessage) {
	ran := false
	message.Ran = &ran
	hoster.WriteJSON(w, status, message)
}

func (s *Server) countAttempt(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[id]++
}

// fetchImport fetches the KV cache that a call refers to. If that fails, the
// prompt has to be computed here.
func (s *Server) fetchImport(r *http.Request, q *sequence) {
	if q.call.Import == nil || q.work != workGenerate {
		return
	}
	held, err := s.fetcher.fetch(r.Context(), *q.call.Import)
	if err != nil {
		s.cfg.Logger.Info("import failed", "attempt_id", q.call.AttemptID, "error", err)
		s.mu.Lock()
		s.stats.ImportsFailed++
		s.mu.Unlock()
		return
	}
	q.imported = min(held.Tokens, q.promptTokens)
	q.call.Import.Bytes = held.Bytes
}

// stream sends a sequence's lines as they are generated.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, q *sequence) {
	defer s.cancelSequence(q) // no effect on an ended sequence
	f := s.takeStreamFaults()
	if !s.delay(lateAnswer, r.Context().Done()) {
		hoster.ResetConn(w)
		return
	}
	out := newLineWriter(w, f, q.call.AttemptID, s.otherAttempt(q))
	if !f.lose {
		w.Header().Set("Content-Type", "application/x-ndjson")
		out.flush()
	}
	alive := time.NewTicker(s.cfg.AliveInterval)
	defer alive.Stop()
	for {
		if !s.awaitNoHang(r.Context().Done()) {
			hoster.ResetConn(w)
			return
		}
		lines, ended := s.takeLines(q)
		if truncated := out.write(lines); truncated {
			return
		}
		if ended {
			if f.lose {
				hoster.ResetConn(w)
			}
			return
		}
		select {
		case <-q.notify:
		case <-alive.C:
			out.write([]httpdriver.Line{{AttemptID: q.call.AttemptID, Kind: httpdriver.LineAlive}})
		case <-r.Context().Done():
			return
		case <-s.stop:
			hoster.ResetConn(w)
			return
		}
	}
}

func (s *Server) cancelSequence(q *sequence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel(q, httpdriver.CodeCancelled)
}

func (s *Server) takeLines(q *sequence) (lines []httpdriver.Line, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines, q.pending = q.pending, nil
	return lines, q.ended
}

// otherAttempt returns the id of another running attempt, for a mismatched
// answer.
func (s *Server) otherAttempt(q *sequence) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, other := range s.running {
		if other.call.AttemptID != q.call.AttemptID {
			return other.call.AttemptID
		}
	}
	return mismatchedID
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	var message httpdriver.CancelMessage
	if err := hoster.ReadJSON(w, r, &message); err != nil {
		refuse(w, http.StatusBadRequest, httpdriver.ErrorMessage{Code: httpdriver.CodeMalformed, Detail: err.Error()})
		return
	}
	s.cancelAttempt(message.AttemptID)
	hoster.WriteJSON(w, http.StatusOK, message)
}

func (s *Server) cancelAttempt(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*sequence
	for _, q := range append(append([]*sequence(nil), s.running...), s.waiting...) {
		if q.call.AttemptID == id {
			found = append(found, q)
		}
	}
	for _, q := range found {
		s.cancel(q, httpdriver.CodeCancelled)
	}
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var message httpdriver.OrderMessage
	if err := hoster.ReadJSON(w, r, &message); err != nil {
		refuse(w, http.StatusBadRequest, httpdriver.ErrorMessage{Code: httpdriver.CodeMalformed, Detail: err.Error()})
		return
	}
	code := s.accept(message)
	if code != "" {
		refuse(w, http.StatusConflict, httpdriver.ErrorMessage{OrderID: message.OrderID, Code: code})
		return
	}
	s.mu.Lock()
	lose := take(&s.faults.LoseOrderAnswers)
	s.mu.Unlock()
	if lose || !s.delay(lateAnswer, r.Context().Done()) {
		hoster.ResetConn(w)
		return
	}
	hoster.WriteJSON(w, http.StatusOK, httpdriver.OrderAnswer{OrderID: message.OrderID})
}

func (s *Server) serveReport(w http.ResponseWriter, r *http.Request) {
	sequence, _ := strconv.ParseInt(r.URL.Query().Get(httpdriver.QueryCacheSequence), 10, 64) // 0 when absent
	hoster.WriteJSON(w, http.StatusOK, s.Report(sequence))
}

func (s *Server) serveKV(w http.ResponseWriter, r *http.Request) {
	handle, ok := s.exportByHandle(r.PathValue("handle"))
	if !ok {
		http.Error(w, "no such handle", http.StatusNotFound)
		return
	}
	hoster.WriteJSON(w, http.StatusOK, handle)
}

func (s *Server) exportByHandle(id string) (handle driver.KVHandle, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExports(time.Now())
	for _, e := range s.exports {
		if e.handle.HandleID == id {
			return e.handle, true
		}
	}
	return driver.KVHandle{}, false
}
