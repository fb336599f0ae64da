// Package returner decides when refused callers should return, and which requests
// are those of callers that do.
//
// It handles demand beyond the capacity that lasts for seconds, with callers that
// return once and honour Retry-After for up to a third of their remaining time. With a
// delay that only depends on the present backlog, all of them return within some tenths
// of a second, to the same shortage, and most are refused for good.
//
// A Calendar holds the engine time that has been promised to callers. A refused caller
// gets the first time that has room, so that those refused first return first, and no
// more return at a time than can be served. The engine time that is due soon is demand
// before the requests arrive, so that hosts keep room for them.
//
// # Usage
//
//	delay, isPromised := calendar.Book(cost, returner.Room{PerSecond: 0.5, Latest: time.Second}, random, now)
//	due := calendar.Due(now)
//	isReturn := detector.IsReturn("summaries", timeLeft, now)
package returner

import "time"

const (
	// bucketLength is the resolution of a Calendar. Hosts send each other their demand a
	// few times a second, so a finer one could not be reserved for.
	bucketLength = 100 * time.Millisecond
	// bucketCount bounds a Calendar to 10 s ahead, a third of the longest usual time limit.
	bucketCount = 100
	// unpromisedSpread is the share of the longest delay over which callers without a
	// promise are spread. Without it, those refused at once all return at once.
	unpromisedSpread = 0.25
	// promisedShare is the share of the room that is promised. The rest is for callers that
	// return at other times than the named one; without it, a third of them coming early
	// leaves one in nine of the others without service.
	promisedShare = 0.7
)

// Room is the engine time that may be promised to refused callers.
type Room struct {
	PerSecond float64       // engine seconds per second, from Earliest on
	Earliest  time.Duration // from now until the first return may be served
	Latest    time.Duration // until which the caller honours a delay
}

// Calendar holds promised engine time by the time of return. The zero value is empty.
type Calendar struct {
	promised [bucketCount]float64 // engine seconds; a ring
	first    int64                // number of the earliest bucket, in bucketLength since the Unix epoch
	// carried is unused room of the past, up to the cost of one request. A host of a large
	// fleet has room for less than one request within the time that callers wait.
	carried  float64
	bookedAt time.Time
}

// Book returns the delay after which a refused caller returns. Without room before
// room.Latest nothing is promised, and the delay is in the last part of that time: the
// shortage may be over by then. random is a number in [0, 1) that spreads the callers.
func (c *Calendar) Book(cost float64, room Room, random float64, now time.Time) (delay time.Duration, isPromised bool) {
	c.advance(now)
	c.carry(cost, room, random, now)
	intoBucket := now.Sub(time.Unix(0, c.first*int64(bucketLength)))
	total := 0.0
	for i := range bucketCount {
		position := c.position(i)
		total += c.promised[position]
		start := time.Duration(i)*bucketLength - intoBucket
		if start < room.Earliest {
			continue
		}
		if start+bucketLength > room.Latest {
			break
		}
		// The sum over all buckets so far is compared, since one costly request takes the
		// room of several.
		if available := promisedShare * room.PerSecond * (start + bucketLength - room.Earliest).Seconds(); total+cost <= available+c.carried {
			c.promised[position] += cost
			c.carried = max(c.carried-cost, 0)
			return start + time.Duration(random*float64(bucketLength)), true
		}
	}
	return room.Latest - time.Duration(random*unpromisedSpread*float64(room.Latest)), false
}

// carry adds the room since the last booking to the carried room. The first booking starts
// with a random part of the cost, so that of many hosts some make a promise.
func (c *Calendar) carry(cost float64, room Room, random float64, now time.Time) {
	elapsed := now.Sub(c.bookedAt)
	if c.bookedAt.IsZero() || elapsed < 0 {
		c.carried = cost * random
	} else {
		c.carried = min(c.carried+promisedShare*room.PerSecond*elapsed.Seconds(), cost)
	}
	c.bookedAt = now
}

// Due returns the engine seconds per second that are promised for the current bucket.
func (c *Calendar) Due(now time.Time) float64 {
	c.advance(now)
	return c.promised[c.position(0)] / bucketLength.Seconds()
}

// advance drops the buckets that have passed. Callers that have not returned by then are
// not expected any more.
func (c *Calendar) advance(now time.Time) {
	current := now.UnixNano() / int64(bucketLength)
	if passed := current - c.first; passed < 0 || passed >= bucketCount {
		*c = Calendar{first: current} // the first use, or the clock has jumped
		return
	}
	for ; c.first < current; c.first++ {
		c.promised[c.position(0)] = 0
	}
}

func (c *Calendar) position(offset int) int { return int((c.first + int64(offset)) % bucketCount) }
