package engineserver

import (
	"slices"
	"time"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/httpdriver"
)

// maxPendingOrders is the limit of accepted orders that wait; further orders
// are refused as busy.
const maxPendingOrders = 16

// OrderResult is the state or result of an order.
type OrderResult string

// Results of an order.
const (
	ResultPending  OrderResult = "pending" // accepted, not started
	ResultApplying OrderResult = "applying"
	ResultApplied  OrderResult = "applied"
	ResultFailed   OrderResult = "failed"
	ResultRefused  OrderResult = "refused" // see OrderRecord.Code
)

// OrderRecord is one entry of the order log: an order as received, and its
// result. Received, Started and Ended are values of one counter that grows by 1
// with each such event at this engine; 0 means not yet.
type OrderRecord struct {
	OrderID   string               `json:"order_id"`
	Zone      string               `json:"zone"`
	Epoch     int64                `json:"epoch"`
	Holder    string               `json:"holder"`
	SetRole   *driver.SetRole      `json:"set_role,omitempty"`
	LoadModel *driver.LoadModel    `json:"load_model,omitempty"`
	Received  int64                `json:"received"`
	Started   int64                `json:"started"`
	Ended     int64                `json:"ended"`
	At        time.Time            `json:"at"` // when it was received
	Result    OrderResult          `json:"result"`
	Code      httpdriver.ErrorCode `json:"code,omitempty"`
	// Effect is what the order changed, such as "role mixed to decode"; empty
	// if nothing changed.
	Effect string `json:"effect,omitempty"`
	// Repeats counts later deliveries of the same order id.
	Repeats int `json:"repeats"`
	// Stale is true when a higher epoch had been received before, whether or
	// not the engine checks fencing.
	Stale bool `json:"stale"`
	// ConflictsWith has the ids of the orders that had not ended when this one
	// was accepted and that request a different state.
	ConflictsWith []string `json:"conflicts_with,omitempty"`
}

// sameAs reports whether two orders request the same state.
func (r *OrderRecord) sameAs(other *OrderRecord) bool {
	switch {
	case r.SetRole != nil && other.SetRole != nil:
		return *r.SetRole == *other.SetRole
	case r.LoadModel != nil && other.LoadModel != nil:
		return *r.LoadModel == *other.LoadModel
	default:
		return false
	}
}

func (r *OrderRecord) open() bool { return r.Result == ResultPending || r.Result == ResultApplying }

// orderLog holds all received orders, oldest first.
type orderLog struct {
	records      []*OrderRecord
	clock        int64
	highestEpoch int64
	conflicts    int64
}

func (l *orderLog) tick() int64 {
	l.clock++
	return l.clock
}

// byID returns the accepted order with an id, or nil.
func (l *orderLog) byID(id string) *OrderRecord {
	for _, r := range l.records {
		if r.OrderID == id && r.Result != ResultRefused {
			return r
		}
	}
	return nil
}

func (l *orderLog) countPending() (n int) {
	for _, r := range l.records {
		if r.Result == ResultPending {
			n++
		}
	}
	return n
}

// next returns the oldest pending order, or nil.
func (l *orderLog) next() *OrderRecord {
	for _, r := range l.records {
		if r.Result == ResultPending {
			return r
		}
	}
	return nil
}

// last returns the id and state of the latest accepted order.
func (l *orderLog) last() (id string, state driver.OrderState) {
	for _, r := range slices.Backward(l.records) {
		switch r.Result {
		case ResultPending, ResultApplying:
			return r.OrderID, driver.OrderApplying
		case ResultApplied:
			return r.OrderID, driver.OrderApplied
		case ResultFailed:
			return r.OrderID, driver.OrderFailed
		}
	}
	return "", ""
}

// accept adds an order to the log; code is empty when it is accepted.
func (s *Server) accept(message httpdriver.OrderMessage) (code httpdriver.ErrorCode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := &s.orders
	if known := l.byID(message.OrderID); known != nil {
		// The epoch fences off all earlier senders, also when the order is a
		// repeat.
		l.highestEpoch = max(l.highestEpoch, message.Epoch)
		known.Repeats++
		s.logOrder("order repeated", known)
		return ""
	}
	r := &OrderRecord{
		OrderID:   message.OrderID,
		Zone:      message.Zone,
		Epoch:     message.Epoch,
		Holder:    message.Holder,
		SetRole:   message.SetRole,
		LoadModel: message.LoadModel,
		Received:  l.tick(),
		At:        time.Now(),
		Result:    ResultPending,
		Stale:     message.Epoch < l.highestEpoch,
	}
	r.Code = s.orderRefusal(message)
	l.highestEpoch = max(l.highestEpoch, message.Epoch)
	if r.Code != "" {
		r.Result = ResultRefused
	} else {
		l.recordConflicts(r)
	}
	l.records = append(l.records, r)
	s.logOrder("order received", r)
	signal(s.orderReady)
	return r.Code
}

// logOrder writes an entry of the order log to the process's log, because a
// crash loses the order log.
func (s *Server) logOrder(event string, r *OrderRecord) { s.cfg.Logger.Info(event, "order", *r) }

func (s *Server) orderRefusal(message httpdriver.OrderMessage) httpdriver.ErrorCode {
	switch {
	case message.OrderID == "" || (message.SetRole == nil) == (message.LoadModel == nil):
		return httpdriver.CodeMalformed
	case message.Incarnation != "" && message.Incarnation != s.incarnation:
		return httpdriver.CodeOtherIncarnation
	case s.cfg.ChecksFencing && message.Epoch < s.orders.highestEpoch:
		return httpdriver.CodeStaleEpoch
	case s.draining:
		return httpdriver.CodeDraining
	case s.orders.countPending() >= maxPendingOrders:
		return httpdriver.CodeBusy
	default:
		return ""
	}
}

func (l *orderLog) recordConflicts(r *OrderRecord) {
	for _, other := range l.records {
		if other.open() && !r.sameAs(other) {
			r.ConflictsWith = append(r.ConflictsWith, other.OrderID)
		}
	}
	if len(r.ConflictsWith) > 0 {
		l.conflicts++
	}
}

// applyOrders applies accepted orders one after the other.
func (s *Server) applyOrders() error {
	for {
		s.mu.Lock()
		r := s.orders.next()
		s.mu.Unlock()
		if r == nil {
			select {
			case <-s.orderReady:
				continue
			case <-s.stop:
				return nil
			}
		}
		if !s.applyOrder(r) {
			return nil
		}
	}
}

// applyOrder applies one order: it drains the engine, waits for the duration of
// the change and switches. ok is false when the engine stops first.
func (s *Server) applyOrder(r *OrderRecord) (ok bool) {
	if !s.delay(orderPause, nil) || !s.awaitNoHang(nil) {
		return false
	}
	s.mu.Lock()
	r.Started, r.Result = s.orders.tick(), ResultApplying
	isNoOp := s.isInState(r)
	s.switching = !isNoOp
	s.mu.Unlock()

	if !isNoOp && !s.change(r) {
		return false
	}

	s.mu.Lock()
	defer s.mu.Unlock()
	s.switchTo(r)
	r.Ended = s.orders.tick()
	s.switching = false
	s.logOrder("order ended", r)
	return true
}

// change drains the engine and waits for the duration of the change.
func (s *Server) change(r *OrderRecord) (ok bool) {
	if !s.awaitEmpty(s.stop) {
		return false
	}
	duration := s.cfg.LoadTime
	if r.SetRole != nil {
		duration = s.cfg.RoleTime
	}
	faults := s.Faults()
	duration = faults.slow(duration)
	if faults.CrashNextOrder {
		if s.pause(duration/2, nil) {
			s.Crash()
		}
		return false
	}
	return s.pause(duration, nil) && s.awaitNoHang(nil)
}

// awaitEmpty waits until no sequence is left; ok is false when done is closed
// or the engine stops first.
func (s *Server) awaitEmpty(done <-chan struct{}) (ok bool) {
	for {
		s.mu.Lock()
		empty := s.empty()
		s.mu.Unlock()
		if empty {
			return true
		}
		select {
		case <-s.emptied:
		case <-done:
			return false
		case <-s.stop:
			return false
		}
	}
}

// isInState reports whether the engine already has the state that an order
// requests.
func (s *Server) isInState(r *OrderRecord) bool {
	if r.SetRole != nil {
		return s.role == r.SetRole.Role
	}
	return s.model == *r.LoadModel
}

// switchTo puts the engine into the state that an order requests, or records
// that the order failed. Loading a model clears the prefix cache and drops the
// exports.
func (s *Server) switchTo(r *OrderRecord) {
	if s.faults.FailNextOrder {
		s.faults.FailNextOrder = false
		r.Result = ResultFailed
		return
	}
	r.Result = ResultApplied
	if s.isInState(r) {
		return
	}
	if r.SetRole != nil {
		r.Effect = "role " + string(s.role) + " to " + string(r.SetRole.Role)
		s.role = r.SetRole.Role
		s.stats.RoleChanges++
		return
	}
	r.Effect = "model " + describe(s.model) + " to " + describe(*r.LoadModel)
	s.model = *r.LoadModel
	s.stats.ModelLoads++
	now := time.Now()
	for _, p := range s.cache.clear() {
		s.events.add(now, p.key, p.tokens, true)
	}
	s.dropExports(now.Add(s.cfg.ExportTTL))
}

func describe(m driver.LoadModel) string { return m.Model + "@" + m.Version + "+" + m.Adapter }

// Orders returns the order log.
func (s *Server) Orders() []OrderRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := make([]OrderRecord, len(s.orders.records))
	for i, r := range s.orders.records {
		records[i] = *r
		records[i].ConflictsWith = slices.Clone(r.ConflictsWith)
	}
	return records
}
