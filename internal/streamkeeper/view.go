package streamkeeper

import (
	"maps"
	"time"
)

// streamLifetime is for how long a stream may live whose origin is not recorded. It must be longer
// than most callers wait; streams of callers that wait for longer are always recorded.
const streamLifetime = 15 * time.Second

// Origin is where a stream began.
type Origin struct {
	Application     string
	SoftwareVersion string // of the endpoint's program
}

// viewKind states which origins the streams of a class can have.
type viewKind int

const (
	viewUnknown viewKind = iota // this host has not been running for long enough
	viewSingle
	viewSeveral
)

// view is what one host knows of the origins of a class's streams.
type view struct {
	kind   viewKind
	origin Origin // of viewSingle
}

// recentValues is a set of values with those that have been in it within streamLifetime.
type recentValues struct {
	since   time.Time            // of the first value
	removed map[string]time.Time // by value, when it was removed; zero: it is in the set
}

func (r *recentValues) add(value string, now time.Time) {
	if r.removed == nil {
		r.removed, r.since = map[string]time.Time{}, now
	}
	r.removed[value] = time.Time{}
}

// remove removes a value. The last one stays: as long as there is no other, it is the only one that
// streams can have.
func (r *recentValues) remove(value string, now time.Time) {
	if _, ok := r.removed[value]; ok {
		r.removed[value] = now
	}
}

// only returns the only value of streams that may still live.
func (r *recentValues) only(now time.Time) (value string, kind viewKind) {
	maps.DeleteFunc(r.removed, func(_ string, at time.Time) bool {
		return len(r.removed) > 1 && !at.IsZero() && now.Sub(at) >= streamLifetime
	})
	for value = range r.removed {
		break
	}
	switch {
	case len(r.removed) > 1:
		return "", viewSeveral
	case len(r.removed) == 0 || now.Sub(r.since) < streamLifetime:
		return value, viewUnknown
	default:
		return value, viewSingle
	}
}

// views determines the views of all classes from the configuration and the list of endpoints.
type views struct {
	classes   map[string]*recentValues // applications by class
	versions  map[string]*recentValues // software versions by application
	endpoints map[string]Origin        // by id
	counts    map[Origin]int           // listed endpoints
}

func newViews() views {
	return views{
		classes: map[string]*recentValues{}, versions: map[string]*recentValues{}, endpoints: map[string]Origin{}, counts: map[Origin]int{},
	}
}

// setClass sets the applications that serve a class.
func (v *views) setClass(class string, applications []string, now time.Time) {
	r := v.classes[class]
	if r == nil {
		r = &recentValues{}
		v.classes[class] = r
	}
	for value, removedAt := range r.removed {
		if removedAt.IsZero() {
			r.remove(value, now)
		}
	}
	for _, application := range applications {
		r.add(application, now)
	}
}

// trim drops the classes that a configuration no longer has, and the applications that neither
// serve a class nor have endpoints.
func (v *views) trim(classes map[string][]string) {
	used := map[string]bool{}
	for _, applications := range classes {
		for _, application := range applications {
			used[application] = true
		}
	}
	for _, origin := range v.endpoints {
		used[origin.Application] = true
	}
	maps.DeleteFunc(v.classes, func(class string, _ *recentValues) bool { return classes[class] == nil })
	maps.DeleteFunc(v.versions, func(application string, _ *recentValues) bool { return !used[application] })
}

// setEndpoint adds an endpoint, or changes it.
func (v *views) setEndpoint(id string, origin Origin, now time.Time) {
	if v.endpoints[id] == origin {
		return
	}
	v.removeEndpoint(id, now)
	v.endpoints[id] = origin
	v.counts[origin]++
	r := v.versions[origin.Application]
	if r == nil {
		r = &recentValues{}
		v.versions[origin.Application] = r
	}
	r.add(origin.SoftwareVersion, now)
}

func (v *views) removeEndpoint(id string, now time.Time) {
	origin, ok := v.endpoints[id]
	if !ok {
		return
	}
	delete(v.endpoints, id)
	if v.counts[origin]--; v.counts[origin] == 0 {
		delete(v.counts, origin)
		v.versions[origin.Application].remove(origin.SoftwareVersion, now)
	}
}

// restart makes all views unknown for streamLifetime, unless there are several origins.
func (v *views) restart(now time.Time) {
	for _, group := range []map[string]*recentValues{v.classes, v.versions} {
		for _, r := range group {
			r.since = now
		}
	}
}

// of returns the view of a class.
func (v *views) of(class string, now time.Time) view {
	applications := v.classes[class]
	if applications == nil {
		return view{}
	}
	application, kind := applications.only(now)
	versions := v.versions[application]
	if kind == viewSeveral || versions == nil {
		return view{kind: kind}
	}
	version, versionKind := versions.only(now)
	switch {
	case versionKind == viewSeveral:
		return view{kind: viewSeveral}
	case kind == viewUnknown || versionKind == viewUnknown:
		return view{}
	}
	return view{kind: viewSingle, origin: Origin{Application: application, SoftwareVersion: version}}
}

// reply is a keeper's answer about one stream.
type reply struct {
	origin     Origin
	isRecorded bool
	view       view
}

// decide returns a stream's origin from this host's view and the replies so far. isCurrent states
// whether this host's view includes the latest changes, and isAlone that it has no peers.
func decide(own view, replies []reply, isCurrent, isAlone bool) (origin Origin, ok bool) {
	single, agree := Origin{}, 0
	count := func(v view) (isConsistent bool) {
		switch v.kind {
		case viewSeveral:
			return false
		case viewSingle:
			if agree > 0 && v.origin != single {
				return false
			}
			single = v.origin
			agree++
		}
		return true
	}
	isConsistent := own.kind != viewSeveral
	if isCurrent {
		isConsistent = count(own)
	}
	for i := range replies {
		if replies[i].isRecorded {
			return replies[i].origin, true
		}
		isConsistent = count(replies[i].view) && isConsistent
	}
	isConfirmed := len(replies) > 0 || isCurrent || isAlone
	if !isConsistent || agree == 0 || !isConfirmed {
		return origin, false
	}
	return single, true
}
