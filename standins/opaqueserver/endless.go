package opaqueserver

import (
	"strings"
	"time"
)

const (
	// maxEndlessBytes ends an endless answer, so that a client without limits fails a test instead
	// of exhausting the memory.
	maxEndlessBytes = 64 << 20
	// slowInterval is the time between two bytes of a slow answer.
	slowInterval = 20 * time.Millisecond
)

// Endless repeats data until the client closes the connection.
func (x *Exchange) Endless(data string) {
	block := []byte(strings.Repeat(data, 1+(4<<10)/len(data)))
	x.repeat(func() []byte { return block })
}

// EndlessLines writes header lines with different names until the client closes the connection.
func (x *Exchange) EndlessLines() {
	const nameBytes = 6
	line, number := []byte("X"+strings.Repeat("a", nameBytes)+": b\r\n"), 0
	x.repeat(func() []byte {
		number++
		for i, n := 1, number; i <= nameBytes; i, n = i+1, n/26 {
			line[i] = byte('a' + n%26)
		}
		return line
	})
}

func (x *Exchange) repeat(next func() []byte) {
	defer x.Close()
	for written := 0; written < maxEndlessBytes; {
		n, err := x.Conn.Write(next())
		if err != nil {
			return
		}
		written += n
	}
}

// Slow repeats data, one byte at a time, until the client closes the connection.
func (x *Exchange) Slow(data string) {
	defer x.Close()
	ticker := time.NewTicker(slowInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		if _, err := x.Conn.Write([]byte{data[i%len(data)]}); err != nil {
			return
		}
		<-ticker.C
	}
}
