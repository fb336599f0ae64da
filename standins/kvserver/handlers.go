package kvserver

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/endivemast/endivemast/internal/provider"
)

// maxRequestBytes leaves room for a base64-encoded value of the maximum size.
const maxRequestBytes = 2 * provider.MaxValueBytes

// kvRoutes registers the paths of the key-value service.
func (s *Server) kvRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v3/kv/range", handle(s, kindRange, s.rangeKeys))
	mux.HandleFunc("POST /v3/kv/put", handle(s, kindPut, s.put))
	mux.HandleFunc("POST /v3/kv/deleterange", handle(s, kindDeleteRange, s.deleteRange))
	mux.HandleFunc("POST /v3/kv/txn", handle(s, kindTxn, s.store.txn))
	mux.HandleFunc("POST /v3/kv/compaction", handle(s, kindCompaction, s.compact))
	mux.HandleFunc("POST /v3/lease/grant", handle(s, kindGrant, s.grant))
	mux.HandleFunc("POST /v3/lease/keepalive", handle(s, kindKeepAlive, s.keepAlive))
	mux.HandleFunc("POST /v3/lease/revoke", handle(s, kindRevoke, s.revoke))
	mux.HandleFunc("POST /v3/kv/lease/revoke", handle(s, kindRevoke, s.revoke))
	mux.HandleFunc("POST /v3/watch", s.handleWatch)
}

func (s *Server) rangeKeys(request *rangeRequest) (*rangeResponse, *gatewayError) {
	return s.store.rangeKeys(request, s.faults.staleness())
}

func (s *Server) put(request *putRequest) (*putResponse, *gatewayError) {
	response, err := s.store.txn(&txnRequest{Success: []requestOp{{Put: request}}})
	if err != nil {
		return nil, err
	}
	return response.Responses[0].Put, nil
}

func (s *Server) deleteRange(request *deleteRangeRequest) (*deleteRangeResponse, *gatewayError) {
	response, err := s.store.txn(&txnRequest{Success: []requestOp{{DeleteRange: request}}})
	if err != nil {
		return nil, err
	}
	return response.Responses[0].DeleteRange, nil
}

func (s *Server) compact(request *compactionRequest) (*headerResponse, *gatewayError) {
	if err := s.store.compact(int64(request.Revision)); err != nil {
		return nil, err
	}
	return &headerResponse{Header: headerAt(int64(request.Revision))}, nil
}

func (s *Server) grant(request *leaseRequest) (*leaseResponse, *gatewayError) {
	return s.store.grant(request, time.Now())
}

func (s *Server) keepAlive(request *leaseRequest) (*leaseStreamResponse, *gatewayError) {
	return &leaseStreamResponse{Result: *s.store.keepAlive(int64(request.ID), time.Now())}, nil
}

func (s *Server) revoke(request *leaseRequest) (*headerResponse, *gatewayError) {
	return s.store.revoke(int64(request.ID))
}

// handle returns a handler that counts a call, applies the faults and runs it
// once.
func handle[Q, A any](s *Server, kind callKind, run func(*Q) (*A, *gatewayError)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request := new(Q)
		if err := readRequest(r, request); err != nil {
			writeError(w, malformed(err))
			return
		}
		if err := s.enterCall(r, kind); err != nil {
			writeError(w, err)
			return
		}
		response, err := runDelayed(s, kind, request, run)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, response)
	}
}

// runDelayed runs a read before and a write after the delay: see
// Faults.LatencyMS.
func runDelayed[Q, A any](
	s *Server, kind callKind, request *Q, run func(*Q) (*A, *gatewayError),
) (*A, *gatewayError) {
	if kind == kindRange {
		response, err := run(request)
		s.delay()
		return response, err
	}
	s.delay()
	response, err := run(request)
	if kind == kindPut || kind == kindDeleteRange || kind == kindTxn {
		s.holdWrite()
	}
	if s.faults.loseAnswer(err == nil && isEffective(response)) {
		s.counter.countLostAnswer()
		abort()
	}
	return response, err
}

// holdWrite delays the answer of a completed write while HoldWrites is set.
func (s *Server) holdWrite() {
	for {
		faults, changed := s.faults.get()
		if !faults.HoldWrites {
			return
		}
		select {
		case <-changed:
		case <-s.closing:
			abort()
		}
	}
}

// isEffective reports whether a write changed keys, judged by its response.
func isEffective(response any) bool {
	switch response := response.(type) {
	case *putResponse:
		return true
	case *deleteRangeResponse:
		return response.Deleted > 0
	case *txnResponse:
		return response.Succeeded
	default:
		return false
	}
}

func readRequest(r *http.Request, request any) (err error) {
	// The whole body is read because net/http detects a disconnected client
	// only after that.
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxRequestBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(body, request)
}

// enterCall counts a call and applies the rate limits and faults; it returns an
// error when the call must not run.
func (s *Server) enterCall(r *http.Request, kind callKind) *gatewayError {
	admitted := s.counter.admit(kind, time.Now())
	s.holdBlackHole(r)
	if faults, _ := s.faults.get(); faults.Down {
		return errNoLeader
	}
	if !admitted {
		return errTooManyRequests
	}
	return nil
}

// holdBlackHole blocks a call while BlackHole is set and then closes its
// connection without an answer.
func (s *Server) holdBlackHole(r *http.Request) {
	held := false
	for {
		faults, changed := s.faults.get()
		if !faults.BlackHole {
			break
		}
		held = true
		select {
		case <-changed:
		case <-r.Context().Done():
			abort()
		case <-s.closing:
			abort()
		}
	}
	if held {
		abort()
	}
}

// delay waits for LatencyMS. A client that disconnects does not end the wait,
// because its request still takes effect.
func (s *Server) delay() {
	faults, _ := s.faults.get()
	if faults.LatencyMS <= 0 {
		return
	}
	timer := time.NewTimer(time.Duration(faults.LatencyMS) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.closing:
		abort()
	}
}

// abort closes the connection of the current call.
func abort() {
	// net/http closes the connection on this panic, without a log line.
	panic(http.ErrAbortHandler)
}
