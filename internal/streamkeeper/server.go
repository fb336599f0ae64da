package streamkeeper

import (
	"context"
	"time"

	"github.com/endivemast/endivemast/internal/streamkeeper/streamkeeperpb"
)

// service implements streamkeeperpb.StreamKeeperServer.
type service struct {
	streamkeeperpb.UnimplementedStreamKeeperServer

	keeper *Keeper
}

// Record implements streamkeeperpb.StreamKeeperServer.
func (s *service) Record(_ context.Context, request *streamkeeperpb.RecordRequest) (*streamkeeperpb.RecordReply, error) {
	k := s.keeper
	now := k.cfg.Clock()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, stream := range request.GetStreams() {
		if len(stream.GetKey()) != len(key{}) {
			continue // of another build
		}
		left := time.Duration(min(max(stream.GetLeftMs(), 0), maxLifetime.Milliseconds())) * time.Millisecond
		k.keepLocked(&record{
			key: key(stream.GetKey()), origin: Origin{Application: stream.GetApplication(), SoftwareVersion: stream.GetSoftwareVersion()}, until: now.Add(left),
		}, now)
	}
	return &streamkeeperpb.RecordReply{}, nil
}

// Find implements streamkeeperpb.StreamKeeperServer.
func (s *service) Find(ctx context.Context, request *streamkeeperpb.FindRequest) (*streamkeeperpb.FindReply, error) {
	k := s.keeper
	if len(request.GetKey()) != len(key{}) {
		return &streamkeeperpb.FindReply{}, nil
	}
	k.mu.Lock()
	r := k.replyLocked(key(request.GetKey()), request.GetClass(), k.cfg.Clock())
	k.mu.Unlock()
	if request.GetConfirm() && !r.isRecorded && r.view.kind == viewSingle && k.cfg.IsStoreReachable() {
		r = k.confirm(ctx, key(request.GetKey()), request.GetClass())
	}
	answer := &streamkeeperpb.FindReply{IsRecorded: r.isRecorded, IsConfirmed: r.isConfirmed}
	switch r.view.kind {
	case viewSingle:
		answer.View = streamkeeperpb.View_VIEW_SINGLE
		answer.Application, answer.SoftwareVersion = r.view.origin.Application, r.view.origin.SoftwareVersion
	case viewSeveral:
		answer.View = streamkeeperpb.View_VIEW_SEVERAL
	}
	if r.isRecorded {
		answer.Application, answer.SoftwareVersion = r.origin.Application, r.origin.SoftwareVersion
	}
	return answer, nil
}
