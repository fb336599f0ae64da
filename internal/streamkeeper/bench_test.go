package streamkeeper

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/endivemast/endivemast/internal/streamkeeper/streamkeeperpb"
)

// BenchmarkBegin measures the cost of a stream at the host that begins it, without the calls to its
// keepers.
func BenchmarkBegin(b *testing.B) {
	for name, hosts := range map[string]int{"9 hosts": 9, "80 hosts": 72, "985 hosts": 128} { // those that may be keepers
		for _, isSent := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s, sent %v", name, isSent), func(b *testing.B) {
				var all []Host
				for i := range hosts {
					all = append(all, Host{fmt.Sprint("h", i), fmt.Sprint("z", i%16)})
				}
				k := New(Config{HostID: "h0", Zone: "z0", Clock: time.Now, Meter: noMeter{}})
				k.SetHosts(all)
				k.isClosed = !isSent
				for id := range all {
					k.isActive[all[id].HostID] = true // nothing is sent
				}
				for i := range b.N {
					k.Begin(stream(fmt.Sprint(i)), v1, time.Second)
				}
			})
		}
	}
	s := &streamkeeperpb.RecordRequest{Streams: []*streamkeeperpb.Stream{{Key: make([]byte, len(key{})), Application: "assistente", SoftwareVersion: "v1.2", LeftMs: 5000}}}
	b.Logf("%d bytes a stream and keeper", proto.Size(s))
}

type noMeter struct{}

func (noMeter) CountStreamRecord(string) {}
