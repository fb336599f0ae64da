package serviceserver

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/httpdriver"
	"github.com/endivemast/endivemast/standins/answerer"
	"github.com/endivemast/endivemast/standins/hoster"
)

// mismatchedID is the attempt id in a mismatched answer.
const mismatchedID = "another-attempt"

// answerFaults are the faults of one answer.
type answerFaults struct {
	lose, cross, truncate, fail bool
}

func (s *Server) takeAnswerFaults() answerFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.faults
	return answerFaults{
		lose:     take(&f.LoseAnswers),
		cross:    take(&f.CrossAnswers),
		truncate: take(&f.TruncateAnswers),
		fail:     take(&f.FailCalls),
	}
}

func (s *Server) handler(ready <-chan struct{}) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+httpdriver.PathCall, s.withFaults(s.serveCall))
	mux.HandleFunc("GET "+httpdriver.PathReport, s.withFaults(func(w http.ResponseWriter, _ *http.Request) {
		hoster.WriteJSON(w, http.StatusOK, s.Report())
	}))
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		hoster.WriteJSON(w, http.StatusOK, s.Runs())
	})
	mux.HandleFunc("POST /drain", func(http.ResponseWriter, *http.Request) { s.SetDraining(true) })
	mux.HandleFunc("DELETE /drain", func(http.ResponseWriter, *http.Request) { s.SetDraining(false) })
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

func (s *Server) awaitNoHang(done <-chan struct{}) (ok bool) {
	for {
		s.mu.Lock()
		hang, changed := s.faults.Hang, s.faultsChanged
		s.mu.Unlock()
		if !hang {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		case <-s.stop:
			return false
		}
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

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	var call driver.ServiceCall
	ran := false
	if err := hoster.ReadJSON(w, r, &call); err != nil {
		hoster.WriteJSON(w, http.StatusBadRequest, httpdriver.ErrorMessage{Code: httpdriver.CodeMalformed, Ran: &ran})
		return
	}
	if code := s.accept(call); code != "" {
		message := httpdriver.ErrorMessage{AttemptID: call.AttemptID, Code: code, Ran: &ran}
		hoster.WriteJSON(w, http.StatusServiceUnavailable, message)
		return
	}
	defer s.release()
	f := s.takeAnswerFaults()
	body, ok := s.run(call)
	if !ok || !s.delay(func(f Faults) int { return f.LateAnswerMS }) || f.lose {
		hoster.ResetConn(w)
		return
	}
	answerCall(w, call, body, f)
}

func answerCall(w http.ResponseWriter, call driver.ServiceCall, body []byte, f answerFaults) {
	id := call.AttemptID
	if f.cross {
		id = mismatchedID
		body = answerer.ServiceAnswer(call.Application, call.Operation, []byte(mismatchedID))
	}
	if f.fail {
		ran := true
		message := httpdriver.ErrorMessage{AttemptID: id, Code: httpdriver.CodeFailed, Ran: &ran}
		hoster.WriteJSON(w, http.StatusInternalServerError, message)
		return
	}
	answer := httpdriver.CallAnswer{AttemptID: id, Body: body}
	if !f.truncate {
		hoster.WriteJSON(w, http.StatusOK, answer)
		return
	}
	encoded, _ := json.Marshal(answer) // strings and bytes always have an encoding
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	_, _ = w.Write(encoded[:len(encoded)/2])
	hoster.ResetConn(w)
}
