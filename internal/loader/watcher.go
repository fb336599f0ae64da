package loader

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	roleInterval = 500 * time.Millisecond
	roleTimeout  = time.Second
)

// RolePoint has the number of engines by role at a time.
type RolePoint struct {
	AtMS  int64          `json:"at_ms"`
	Roles map[string]int `json:"roles"`
}

// roleWatcher polls the engines' roles from the operators' API.
type roleWatcher struct {
	client    *http.Client
	operators []string
	token     string

	mu        sync.Mutex
	startedAt time.Time
	last      map[string]string // role by engine
	points    []RolePoint
	changes   int
}

func newRoleWatcher(client *http.Client, operators []string, token string) *roleWatcher {
	return &roleWatcher{client: client, operators: operators, token: token, last: make(map[string]string)}
}

// start sets the time from which points are recorded and to which their times
// refer.
func (w *roleWatcher) start(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startedAt = at
}

// watch polls until ctx ends.
func (w *roleWatcher) watch(ctx context.Context) {
	ticker := time.NewTicker(roleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, address := range w.operators {
			if w.poll(ctx, address) {
				break
			}
		}
	}
}

func (w *roleWatcher) poll(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, roleTimeout)
	defer cancel()
	var status struct {
		Endpoints []struct {
			EndpointID string `json:"endpoint_id"`
			Role       string `json:"role"`
			State      string `json:"state"`
		} `json:"endpoints"`
	}
	if err := getJSON(ctx, w.client, "http://"+address+"/v1/operator/status", w.token, &status); err != nil {
		return false
	}
	roles := make(map[string]string, len(status.Endpoints))
	for _, endpoint := range status.Endpoints {
		if endpoint.Role != "" && endpoint.State != "gone" {
			roles[endpoint.EndpointID] = endpoint.Role
		}
	}
	w.addPoint(roles, time.Now())
	return true
}

func (w *roleWatcher) addPoint(roles map[string]string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.startedAt.IsZero() {
		return
	}
	point := RolePoint{AtMS: now.Sub(w.startedAt).Milliseconds(), Roles: make(map[string]int)}
	for engine, role := range roles {
		point.Roles[role]++
		if before, ok := w.last[engine]; ok && before != role {
			w.changes++
		}
		w.last[engine] = role
	}
	w.points = append(w.points, point)
}

func (w *roleWatcher) results() (points []RolePoint, changes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.points, w.changes
}
