package estimator

import "math/bits"

const (
	lengthBuckets = 40 // two for each power of two, up to a million tokens
	lengthFade    = 0.99
	upperPart     = 0.9 // of the answers seen
)

// AnswerLength learns how long a class's answers are, as a fading histogram.
type AnswerLength struct {
	weight float32
	counts [lengthBuckets]float32
}

// Observe adds the length of a whole answer.
func (l *AnswerLength) Observe(tokens int) {
	l.weight = l.weight*lengthFade + 1
	for i := range l.counts {
		l.counts[i] *= lengthFade
	}
	l.counts[lengthBucket(tokens)]++
}

// IsKnown is true once answers have been seen.
func (l *AnswerLength) IsKnown() bool { return l.weight > 0 }

// Remaining estimates how many more tokens come after those done, of at most
// limit in all. It is the mean over the answers seen that were longer than
// done; with none of these it is a quarter of what the limit leaves.
func (l *AnswerLength) Remaining(done, limit int) int {
	left := max(limit-done, 0)
	var weight, sum float64
	for i := lengthBucket(done); i < lengthBuckets; i++ {
		middle := lengthMiddle(i)
		if middle <= done {
			continue
		}
		weight += float64(l.counts[i])
		sum += float64(l.counts[i]) * float64(middle-done)
	}
	if weight < 0.05 {
		return (left + 3) / 4
	}
	return min(max(int(sum/weight), 1), left)
}

// UpperBound is a number of further tokens that most answers stay below, for
// decisions about targets: with the mean, every other answer that waited until
// its last moment would be late.
func (l *AnswerLength) UpperBound(done, limit int) int {
	left := max(limit-done, 0)
	first := lengthBucket(done)
	var weight float64
	for _, count := range l.counts[first:] {
		weight += float64(count)
	}
	if weight < 0.05 {
		return l.Remaining(done, limit)
	}
	var sum float64
	for i := first; i < lengthBuckets; i++ {
		if sum += float64(l.counts[i]); sum >= upperPart*weight {
			return min(max(lengthTop(i)-done, 1), left)
		}
	}
	return left
}

// lengthBucket gives 2^n and 1.5*2^n a bucket each.
func lengthBucket(tokens int) int {
	if tokens < 2 {
		return 0
	}
	n := bits.Len(uint(tokens)) - 1
	half := (tokens >> (n - 1)) & 1
	return min(2*n+half, lengthBuckets-1)
}

// lengthTop is the last length of a bucket.
func lengthTop(bucket int) int {
	next := bucket + 1
	return (2+next%2)<<(next/2)/2 - 1
}

func lengthMiddle(bucket int) int {
	if bucket < 2 {
		return 1
	}
	low := 1 << (bucket / 2)
	if bucket%2 == 1 {
		return low + low*3/4
	}
	return low + low/4
}
