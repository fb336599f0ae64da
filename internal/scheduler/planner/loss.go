package planner

import (
	"math"
	"slices"
	"time"
)

const (
	// targetPrefillUse and targetDecodeUse are the planned utilizations of the engines of
	// the two roles. A prompt occupies its engine alone and delays those queued behind
	// it, so prefill engines need idle time; decoding streams run concurrently, and each
	// slows the others down.
	targetPrefillUse = 0.6
	targetDecodeUse  = 0.6
	// splitHysteresis is the share of the engines by which the wanted split has to differ
	// before an engine changes its role. A change takes an engine out of service for
	// seconds and moves some prefixes to engines that do not cache them: three changes at
	// once, or one for a difference of a seventh of the engines, cost more than they gain.
	splitHysteresis = 0.25
	// minPlannedUse is the least use, in engines, from which a split can be derived.
	minPlannedUse = 1.0
	// minSplitInterval is the least time between two changes, and from the first work to
	// the first change: caches are cold at that time, and prompts are prefilled in full.
	minSplitInterval = 8 * time.Second
)

const (
	// minLossShare is the share of the engines of a role, and minLostEngines the number of engines,
	// whose loss counts as one. Restarts of single engines don't.
	minLossShare   = 0.25
	minLostEngines = 2
	// lossMemory is how long before a loss is known the use of the engines is taken from. Afterwards
	// it shows what is served, not the demand. An exit may be known only seconds later.
	lossMemory = 4 * time.Second
	// useSampleInterval is the time between two samples of the use.
	useSampleInterval = 500 * time.Millisecond
	// lossPlanTime is how long changes for a loss are planned after it: other lost engines may
	// become known until then.
	lossPlanTime = 3 * time.Second
	// lossSettleTime is how long the number of engines has to be unchanged before changes are
	// planned, at most until maxLossDelay: hosts detect the lost engines one after the other.
	lossSettleTime = 80 * time.Millisecond
	maxLossDelay   = 250 * time.Millisecond
	// roleChangeTime is how long an engine is out of service, and lossHorizon the time over which
	// changes have to gain more than they cost. Lost engines may be back by then.
	roleChangeTime = 3 * time.Second
	lossHorizon    = 10 * time.Second
	// minLossGain is the least gain, as a share of the demand over lossHorizon. Estimates of the
	// demand are less exact.
	minLossGain = 0.02
)

// SplitInput is the state of an application whose engines either prefill or decode.
type SplitInput struct {
	Now time.Time
	// Prefill and Decode are the numbers of usable engines by role. Those that are changing count
	// with their new role.
	Prefill, Decode int
	// PrefillInUse and DecodeInUse are the engines in use, averaged over some seconds.
	PrefillInUse, DecodeInUse float64
}

// SplitState is what NextSplit keeps from one call to the next. Its zero value is that of an
// application without work.
type SplitState struct {
	changedAt       time.Time     // of the latest change, or the first work; zero: no work yet
	samples         []splitSample // of the last lossMemory, oldest first
	prefill, decode int           // in the latest call
	countedAt       time.Time     // since when these numbers are unchanged
	loss            *lossState    // nil: no engines were lost within lossPlanTime
}

// splitSample is the use of the engines at a time.
type splitSample struct {
	at                        time.Time
	prefill, decode           int
	prefillInUse, decodeInUse float64
}

// lossState is a loss of engines.
type lossState struct {
	at      time.Time
	before  splitSample
	planned int // number of engines for which changes have been planned; 0: none
}

// SplitDecision is how many engines are to prefill.
type SplitDecision struct {
	Prefill int
	Reason  string // ReasonSplit or ReasonLoss; empty: no change
	// Gain is the part of the demand over lossHorizon that is served in addition, for ReasonLoss.
	Gain float64
	// PrefillNeed and DecodeNeed are the engines that the demand needs, as far as is known.
	PrefillNeed, DecodeNeed float64
}

// Reasons of a SplitDecision and of the proposals of PlanSplit.
const (
	ReasonSplit = "split"
	ReasonLoss  = "loss"
)

// NextSplit decides how many engines prefill. Slow changes of the demand change the role of one engine
// at a time. After a loss of a large part of the engines, several change at once; the need of each role
// is then that before the loss. Until there is work, half of the engines prefill: the demand is
// unknown, and changes have no cost.
func NextSplit(input *SplitInput, state SplitState) (SplitDecision, SplitState) {
	state.observe(input)
	usable := input.Prefill + input.Decode
	d := SplitDecision{Prefill: input.Prefill, PrefillNeed: input.PrefillInUse / targetPrefillUse, DecodeNeed: input.DecodeInUse / targetDecodeUse}
	if state.isLossDue(input) {
		state.loss.planned = usable
		if after := bestAfterLoss(input, &state.loss.before); after.Reason != "" {
			state.changedAt = input.Now
			return after, state
		}
	}
	if state.loss != nil && state.loss.planned == 0 {
		return d, state // one engine at a time would be too slow, and might be the wrong one
	}
	if input.PrefillInUse+input.DecodeInUse < minPlannedUse {
		if state.changedAt.IsZero() {
			d.Prefill = (usable + 1) / 2
		}
		return d, state
	}
	if state.changedAt.IsZero() {
		state.changedAt = input.Now
	}
	if input.Now.Sub(state.changedAt) < minSplitInterval {
		return d, state
	}
	wanted := float64(usable) * d.PrefillNeed / (d.PrefillNeed + d.DecodeNeed)
	if math.Abs(wanted-float64(input.Prefill)) < splitHysteresis*float64(usable) {
		return d, state
	}
	state.changedAt, d.Reason = input.Now, ReasonSplit
	if wanted > float64(input.Prefill) {
		d.Prefill++
	} else {
		d.Prefill--
	}
	return d, state
}

// observe records the present numbers and use, and detects a loss.
func (s *SplitState) observe(input *SplitInput) {
	now := input.Now
	if input.Prefill != s.prefill || input.Decode != s.decode {
		s.prefill, s.decode, s.countedAt = input.Prefill, input.Decode, now
	}
	if s.loss != nil && now.Sub(s.loss.at) >= lossPlanTime {
		s.loss = nil
	}
	if s.loss != nil {
		loss := *s.loss // the previous state stays unchanged
		s.loss = &loss
		return
	}
	s.samples = slices.DeleteFunc(slices.Clone(s.samples), func(sample splitSample) bool { return now.Sub(sample.at) > lossMemory })
	if len(s.samples) > 0 && isLoss(&s.samples[0], input) {
		s.loss, s.samples = &lossState{at: now, before: s.samples[0]}, nil
		return
	}
	if len(s.samples) == 0 || now.Sub(s.samples[len(s.samples)-1].at) >= useSampleInterval {
		s.samples = append(s.samples, splitSample{
			at: now, prefill: input.Prefill, decode: input.Decode, prefillInUse: input.PrefillInUse, decodeInUse: input.DecodeInUse,
		})
	}
}

// isLoss reports whether a large part of the engines of a role has been lost. Engines that have only
// changed their role are not lost.
func isLoss(before *splitSample, now *SplitInput) bool {
	lost := before.prefill + before.decode - now.Prefill - now.Decode
	lostPrefill, lostDecode := before.prefill-now.Prefill, before.decode-now.Decode
	return lost >= minLostEngines &&
		(float64(lostPrefill) >= minLossShare*float64(before.prefill) || float64(lostDecode) >= minLossShare*float64(before.decode))
}

// isLossDue reports whether changes for a loss are to be planned now.
func (s *SplitState) isLossDue(input *SplitInput) bool {
	if s.loss == nil || s.loss.planned > 0 && input.Prefill+input.Decode >= s.loss.planned {
		return false
	}
	return input.Now.Sub(s.countedAt) >= lossSettleTime || input.Now.Sub(s.loss.at) >= maxLossDelay
}

// bestAfterLoss returns the split with which most of the demand before a loss is served over
// lossHorizon, the time without the changing engines included. Its Reason is empty if no change is
// worth its cost.
func bestAfterLoss(input *SplitInput, before *splitSample) (best SplitDecision) {
	best = SplitDecision{
		Prefill: input.Prefill, PrefillNeed: before.prefillInUse / targetPrefillUse, DecodeNeed: before.decodeInUse / targetDecodeUse,
	}
	if before.prefillInUse+before.decodeInUse < minPlannedUse {
		return best
	}
	served := func(prefill, decode int) float64 {
		return servedShare(float64(prefill), float64(decode), best.PrefillNeed, best.DecodeNeed)
	}
	changing := roleChangeTime.Seconds() / lossHorizon.Seconds()
	usable, now := input.Prefill+input.Decode, served(input.Prefill, input.Decode)
	needed := minLossGain
	for prefill := 1; prefill < usable; prefill++ {
		during := served(min(prefill, input.Prefill), min(usable-prefill, input.Decode))
		gain := changing*during + (1-changing)*served(prefill, usable-prefill) - now
		isCloser := abs(prefill-input.Prefill) < abs(best.Prefill-input.Prefill)
		if gain > needed+1e-9 || best.Reason != "" && isCloser && gain > best.Gain-1e-9 {
			best.Prefill, best.Reason, best.Gain = prefill, ReasonLoss, gain
			needed = max(needed, gain)
		}
	}
	return best
}

// servedShare returns the share of the demand that engines serve. Each request needs both roles.
func servedShare(prefill, decode, prefillNeed, decodeNeed float64) float64 {
	share := 1.0
	if prefillNeed > 0 {
		share = min(share, prefill/prefillNeed)
	}
	if decodeNeed > 0 {
		share = min(share, decode/decodeNeed)
	}
	return share
}

func abs(n int) int { return max(n, -n) }
