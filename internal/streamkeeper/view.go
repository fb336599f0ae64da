package streamkeeper

import (
	"maps"
	"slices"
	"time"
)

const (
	// streamLifetime is for how long a stream may live whose origin is not recorded.
	streamLifetime = 15 * time.Second
	// unrecordedLifetime is how long callers may wait whose streams need no record. It is longer than most
	// wait. The rest of streamLifetime is for a change that a host has received and not applied.
	unrecordedLifetime = 10 * time.Second
	// outOfStepLimit is for how long a host may begin streams without receiving the platform's changes.
	outOfStepLimit = 10 * time.Minute
)

// Origin is where a stream began.
type Origin struct {
	Application     string
	SoftwareVersion string // of the endpoint's program
}

// History is what streams that still live may have begun at. It lasts in the platform's store, for hosts that
// have all started at the same time.
type History struct {
	Classes  map[string][]string `json:"classes"`  // applications by class
	Versions map[string][]string `json:"versions"` // software versions by application
}

// viewKind states which origins the streams of a class can have.
type viewKind int

const (
	viewUnknown viewKind = iota // this host does not know for long enough what serves
	viewSingle
	viewSeveral
)

// String implements fmt.Stringer.
func (v viewKind) String() string {
	switch v {
	case viewSingle:
		return "single"
	case viewSeveral:
		return "several"
	default:
		return "unknown"
	}
}

// view is what one host knows of the origins of a class's streams.
type view struct {
	kind   viewKind
	origin Origin // of viewSingle
}

// singleOf returns the view of a class whose streams have one origin.
func singleOf(origin Origin) view { return view{kind: viewSingle, origin: origin} }

// recentValues is a set of values with those that have been in it recently.
type recentValues struct {
	values map[string]recentValue
	// unknownUntil is when the values of the time before this host started no longer matter.
	unknownUntil time.Time
	// missed stands for values that may have come and gone without this host's knowledge; nil: there are none.
	missed *recentValue
}

type recentValue struct {
	removedAt time.Time // zero: it is in the set
	// isInherited is true for a value of the hosts before. The records of its streams may be lost, also
	// of those that live for longer than streamLifetime.
	isInherited bool

	// A host that has not applied the removal goes on beginning streams with the value.
	isCounted       bool      // setMembers has been called since the removal
	removedRevision int64     // of the platform's changes, at which this host had applied the removal; 0: not determined
	confirmedAt     time.Time // when no host used the value any more; zero: some host may
}

// isPossible reports whether streams with the value may still live, apart from recorded ones.
func (v recentValue) isPossible(now time.Time) bool {
	switch {
	case v.removedAt.IsZero(), v.isInherited && now.Sub(v.removedAt) < maxLifetime:
		return true
	case v.confirmedAt.IsZero():
		return now.Sub(v.removedAt) < outOfStepLimit
	default:
		return now.Sub(v.confirmedAt) < streamLifetime
	}
}

// isRecent reports whether recorded streams with a removed value may still live.
func (v recentValue) isRecent(now time.Time) bool {
	return now.Sub(v.removedAt) < maxLifetime || !v.confirmedAt.IsZero() && now.Sub(v.confirmedAt) < maxLifetime
}

// setMembers sets the revisions that this host and all hosts have applied. A removal is applied
// before the revision advances, so that the revision of the removal is determined by the second call.
func (v recentValue) setMembers(own, least, leastKnown int64, confirmedAt time.Time) recentValue {
	switch {
	case v.removedAt.IsZero():
		return v
	case !v.confirmedAt.IsZero():
		if leastKnown < v.removedRevision {
			v.confirmedAt = time.Time{} // a host has started again with an older list
		}
		return v
	case !v.isCounted:
		v.isCounted = true
		return v
	case v.removedRevision == 0:
		v.removedRevision = own
	}
	if least >= v.removedRevision {
		v.confirmedAt = confirmedAt
	}
	return v
}

func newRecentValues(unknownUntil time.Time) *recentValues {
	return &recentValues{values: map[string]recentValue{}, unknownUntil: unknownUntil}
}

func (r *recentValues) add(value string) { r.values[value] = recentValue{} }

// inherit adds a value that other hosts know, unless this one knows it.
func (r *recentValues) inherit(value string, now time.Time) {
	if _, ok := r.values[value]; !ok {
		r.values[value] = recentValue{removedAt: now, isInherited: true}
	}
}

func (r *recentValues) remove(value string, now time.Time) {
	if known, ok := r.values[value]; ok && known.removedAt.IsZero() {
		r.values[value] = recentValue{removedAt: now}
	}
}

func (r *recentValues) setMembers(own, least, leastKnown int64, confirmedAt time.Time) {
	for value, v := range r.values {
		r.values[value] = v.setMembers(own, least, leastKnown, confirmedAt)
	}
	if r.missed != nil {
		missed := r.missed.setMembers(own, least, leastKnown, confirmedAt)
		r.missed = &missed
	}
}

// trim drops the values that were removed long ago. The one removed last stays if there is no other:
// it is the only one that streams can have.
func (r *recentValues) trim(now time.Time) {
	last := r.lastRemoved()
	hasOther := slices.ContainsFunc(slices.Collect(maps.Values(r.values)), func(v recentValue) bool { return v.removedAt.IsZero() })
	maps.DeleteFunc(r.values, func(value string, v recentValue) bool {
		return !v.isPossible(now) && !v.isRecent(now) && (hasOther || value != last)
	})
}

// lastRemoved returns the value removed last, and one that was inherited only if there is no other.
func (r *recentValues) lastRemoved() (last string) {
	for value, v := range r.values {
		known, ok := r.values[last]
		isLater := v.isInherited == known.isInherited && v.removedAt.After(known.removedAt)
		if !ok || known.isInherited && !v.isInherited || isLater {
			last = value
		}
	}
	return last
}

// only returns the only value of streams that may still live. With viewUnknown, it is the only one that
// this host knows itself, if any. When an inherited value was removed is not known, so that a second value of this
// kind makes the result unknown: hosts that have been running for longer may know that it no longer matters.
func (r *recentValues) only(now time.Time) (value string, kind viewKind) {
	var own, inherited []string
	for candidate, v := range r.values {
		switch {
		case !v.isPossible(now):
		case v.isInherited:
			inherited = append(inherited, candidate)
		default:
			own = append(own, candidate)
		}
	}
	switch {
	case len(own) > 0:
		value = own[0]
	case len(inherited) > 0:
		value = inherited[0]
	default:
		value = r.lastRemoved()
	}
	switch {
	case len(own) > 1:
		return "", viewSeveral
	case len(own)+len(inherited) > 1 || len(r.values) == 0 || now.Before(r.unknownUntil) || r.missed != nil && r.missed.isPossible(now):
		return value, viewUnknown
	default:
		return value, viewSingle
	}
}

// sorted returns the values in order.
func (r *recentValues) sorted() []string { return slices.Sorted(maps.Keys(r.values)) }

// views determines the views of all classes from the configuration and the list of endpoints.
type views struct {
	classes   map[string]*recentValues // applications by class
	versions  map[string]*recentValues // software versions by application
	endpoints map[string]Origin        // by id
	counts    map[Origin]int           // listed endpoints

	// awaitsHistory is true until setHistory, if it is going to be called.
	awaitsHistory bool
	// hasUnusedHistory is true from setHistory until useHistory.
	hasUnusedHistory bool
	hasClasses       bool
	hasEndpoints     bool
}

func newViews(awaitsHistory bool) views {
	return views{
		classes: map[string]*recentValues{}, versions: map[string]*recentValues{}, endpoints: map[string]Origin{}, counts: map[Origin]int{},
		awaitsHistory: awaitsHistory,
	}
}

// setOf returns the set of a key, which it adds if there is none.
func (v *views) setOf(sets map[string]*recentValues, key string, now time.Time) *recentValues {
	r := sets[key]
	if r == nil {
		unknownTime := streamLifetime
		if v.awaitsHistory {
			unknownTime = maxLifetime
		}
		r = newRecentValues(now.Add(unknownTime))
		sets[key] = r
	}
	return r
}

// setHistory adds what other hosts knew; nil: there were none, or they kept nothing.
func (v *views) setHistory(history *History, now time.Time) {
	isFirst := v.awaitsHistory
	v.awaitsHistory = false
	if history == nil {
		if isFirst {
			for _, r := range v.sets() {
				r.unknownUntil = r.unknownUntil.Add(streamLifetime - maxLifetime)
			}
		}
		return
	}
	v.hasUnusedHistory = isFirst
	for class, applications := range history.Classes {
		for _, application := range applications {
			v.setOf(v.classes, class, now).inherit(application, now)
		}
	}
	for application, versions := range history.Versions {
		for _, version := range versions {
			v.setOf(v.versions, application, now).inherit(version, now)
		}
	}
	v.useHistory()
}

// useHistory ends the time for which the views are unknown, once the platform's present state is known as well.
func (v *views) useHistory() {
	if !v.hasUnusedHistory || !v.hasClasses || !v.hasEndpoints {
		return
	}
	v.hasUnusedHistory = false
	for _, r := range v.sets() {
		r.unknownUntil = time.Time{}
	}
}

func (v *views) sets() []*recentValues {
	return slices.AppendSeq(slices.Collect(maps.Values(v.classes)), maps.Values(v.versions))
}

// history returns the values of streams that may still live.
func (v *views) history(now time.Time) History {
	collect := func(sets map[string]*recentValues) map[string][]string {
		values := make(map[string][]string, len(sets))
		for key, r := range sets {
			r.trim(now)
			values[key] = r.sorted()
		}
		return values
	}
	return History{Classes: collect(v.classes), Versions: collect(v.versions)}
}

// setClass sets the applications that serve a class.
func (v *views) setClass(class string, applications []string, now time.Time) {
	r := v.setOf(v.classes, class, now)
	for value := range r.values {
		r.remove(value, now)
	}
	for _, application := range applications {
		r.add(application)
	}
	r.trim(now)
}

// trim drops the classes that a configuration no longer has, and the applications that neither
// serve a class nor have endpoints.
func (v *views) trim(classes map[string][]string, now time.Time) {
	used := map[string]bool{}
	for _, applications := range classes {
		for _, application := range applications {
			used[application] = true
		}
	}
	for _, origin := range v.endpoints {
		used[origin.Application] = true
	}
	maps.DeleteFunc(v.classes, func(class string, r *recentValues) bool { return classes[class] == nil && r.clear(now) })
	maps.DeleteFunc(v.versions, func(application string, r *recentValues) bool { return !used[application] && r.clear(now) })
}

// clear removes all values, and reports whether none is possible any more.
func (r *recentValues) clear(now time.Time) (isCleared bool) {
	isCleared = r.missed == nil || !r.missed.isPossible(now)
	for value := range r.values {
		r.remove(value, now)
		isCleared = isCleared && !r.values[value].isPossible(now)
	}
	return isCleared
}

// setEndpoint adds an endpoint, or changes it.
func (v *views) setEndpoint(id string, origin Origin, now time.Time) {
	if v.endpoints[id] == origin {
		return
	}
	v.removeEndpoint(id, now)
	v.endpoints[id] = origin
	v.counts[origin]++
	r := v.setOf(v.versions, origin.Application, now)
	r.add(origin.SoftwareVersion)
	r.trim(now)
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

// markMissed records that values of some sets may have come and gone without this host's knowledge.
func markMissed(sets map[string]*recentValues, now time.Time) {
	for _, r := range sets {
		r.missed = &recentValue{removedAt: now}
	}
}

// setMembers sets the revision of the platform's changes that this host has applied, and the least one of
// all hosts that may begin streams; leastKnown leaves out those whose revision is not known. confirmedAt is
// when those no longer use what they know to be removed.
func (v *views) setMembers(own, least, leastKnown int64, confirmedAt time.Time) {
	for _, r := range v.sets() {
		r.setMembers(own, least, leastKnown, confirmedAt)
	}
}

// hasRecent reports whether streams of a class may still live, by their records, whose origin is none of those
// of the view.
func (v *views) hasRecent(class string, now time.Time) bool {
	isRecent := func(r *recentValues) bool {
		return r != nil && slices.ContainsFunc(slices.Collect(maps.Values(r.values)), func(value recentValue) bool {
			return !value.isPossible(now) && value.isRecent(now)
		})
	}
	applications := v.classes[class]
	if applications == nil || isRecent(applications) {
		return applications != nil
	}
	return slices.ContainsFunc(applications.sorted(), func(application string) bool { return isRecent(v.versions[application]) })
}

// of returns the view of a class.
func (v *views) of(class string, now time.Time) view {
	applications := v.classes[class]
	if applications == nil {
		return view{}
	}
	application, kind := applications.only(now)
	versions := v.versions[application]
	switch {
	case kind == viewSeveral:
		return view{kind: viewSeveral}
	case versions == nil:
		return view{}
	}
	version, versionKind := versions.only(now)
	switch {
	case versionKind == viewSeveral:
		return view{kind: viewSeveral}
	case kind == viewUnknown || versionKind == viewUnknown:
		return view{}
	}
	return singleOf(Origin{Application: application, SoftwareVersion: version})
}

// reply is what a host knows of one stream.
type reply struct {
	origin     Origin
	isRecorded bool
	view       view
	// isConfirmed is true if the view includes all changes that the platform had accepted when the
	// stream was looked up.
	isConfirmed bool
}

// decide returns a stream's origin from what this host and some keepers know. A view that is not
// confirmed only speaks against others: a host can't know what it has missed, and several hosts may
// have missed the same.
func decide(own *reply, replies []reply) (origin Origin, ok bool) {
	isConfirmed, isConsistent := false, true
	var single *Origin
	for _, r := range append([]reply{*own}, replies...) {
		if r.isRecorded {
			return r.origin, true
		}
		switch r.view.kind {
		case viewSeveral:
			isConsistent = false
		case viewSingle:
			isConsistent = isConsistent && (single == nil || *single == r.view.origin)
			single = &r.view.origin
			isConfirmed = isConfirmed || r.isConfirmed
		}
	}
	if !isConsistent || !isConfirmed {
		return origin, false
	}
	return *single, true
}
