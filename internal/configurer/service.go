package configurer

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/endivemast/endivemast/internal/configurer/configurerpb"
)

// fetchPageBytes is the size after which a page of Fetch ends. A page exceeds
// it by one shard document at most, which keeps it below gRPC's default message
// limit of 4 MB.
const fetchPageBytes = 1 << 20

// Push implements the peer protocol.
func (c *Configurer) Push(_ context.Context, request *configurerpb.PushRequest) (*configurerpb.PushReply, error) {
	h, err := decodeHead(request.GetHead())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	c.applyHead(h, fromParent)
	c.notePeerPosition(request.GetPosition())
	return &configurerpb.PushReply{Position: c.position()}, nil
}

// Compare implements the peer protocol.
func (c *Configurer) Compare(_ context.Context, request *configurerpb.CompareRequest) (*configurerpb.CompareReply, error) {
	peerPosition := request.GetPosition()
	c.notePeerPosition(peerPosition)
	st := c.state.Load()
	if peerPosition.GetRevision() == st.revision && peerPosition.GetChain() != uint64(st.chain) {
		c.counters.divergences.Add(1)
		c.logger.Error("peer has a different change history at the same revision", "revision", st.revision)
	}
	reply := &configurerpb.CompareReply{Position: c.position()}
	if peerPosition.GetRevision() >= st.revision && !request.GetAlwaysHead() {
		return reply, nil
	}
	value, ok := c.headFor(peerPosition)
	reply.Head, reply.Gap = value, !ok
	return reply, nil
}

// headFor returns an encoded head with the changes that a peer lacks. It is not
// ok when they are no longer kept, exceed the size limit, or when the peer's
// history differs.
func (c *Configurer) headFor(peerPosition *configurerpb.Position) (value []byte, ok bool) {
	h, ok := c.headSince(peerPosition.GetRevision())
	if !ok || uint64(h.BaseChain) != peerPosition.GetChain() {
		return nil, false
	}
	value, err := encodeHead(h)
	return value, err == nil
}

// Fetch implements the peer protocol.
func (c *Configurer) Fetch(_ context.Context, request *configurerpb.FetchRequest) (*configurerpb.FetchReply, error) {
	if request.GetFirstShard() >= shardCount {
		return nil, status.Errorf(codes.OutOfRange, "shard %d, there are %d", request.GetFirstShard(), shardCount)
	}
	st := c.state.Load()
	reply := &configurerpb.FetchReply{Position: c.position()}
	reply.Position.Revision, reply.Position.Chain = st.revision, uint64(st.chain)
	size := 0
	for i := int(request.GetFirstShard()); i < shardCount; i++ {
		if st.shards[i].revision == 0 {
			continue
		}
		if size >= fetchPageBytes {
			reply.NextShard = uint32(i)
			break
		}
		value, err := encodeShard(i, st.shards[i])
		if err != nil {
			return nil, status.Error(codes.Internal, err.Error())
		}
		reply.Shards = append(reply.Shards, value)
		size += len(value)
	}
	return reply, nil
}
