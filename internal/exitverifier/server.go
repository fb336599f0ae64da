package exitverifier

import (
	"context"
	"time"

	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/exitverifier/exitverifierpb"
	"github.com/endivemast/endivemast/internal/timekeeper"
)

// probeTimeout bounds a probe for a peer.
const probeTimeout = 400 * time.Millisecond

// service implements exitverifierpb.ExitVerifierServer.
type service struct {
	exitverifierpb.UnimplementedExitVerifierServer

	verifier *Verifier
}

// Probe implements exitverifierpb.ExitVerifierServer.
func (s *service) Probe(ctx context.Context, request *exitverifierpb.ProbeRequest) (*exitverifierpb.ProbeReply, error) {
	process := driver.Process{EndpointID: request.GetEndpointId(), Incarnation: request.GetIncarnation()}
	return &exitverifierpb.ProbeReply{Observation: observationToMessage(s.verifier.observe(ctx, process))}, nil
}

// observe connects to a process, once for all peers that ask at the same time.
func (v *Verifier) observe(ctx context.Context, process driver.Process) Observation {
	observation, _, _ := v.inFlight.Do( // the function returns no error
		process.EndpointID+"\x00"+process.Incarnation, func() (any, error) {
			defer v.probes.Add(-1)
			if v.probes.Add(1) > maxProbes {
				return ObservedNothing, nil
			}
			ctx, cancel := timekeeper.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
			defer cancel()
			return v.cfg.Observe(ctx, process), nil
		})
	return observation.(Observation)
}

var messageOf = map[Observation]exitverifierpb.Observation{
	ObservedNothing:   exitverifierpb.Observation_OBSERVATION_NONE,
	ObservedReached:   exitverifierpb.Observation_OBSERVATION_REACHED,
	ObservedRefused:   exitverifierpb.Observation_OBSERVATION_REFUSED,
	ObservedUnreached: exitverifierpb.Observation_OBSERVATION_UNREACHED,
	ObservedAlive:     exitverifierpb.Observation_OBSERVATION_ALIVE,
}

func observationToMessage(o Observation) exitverifierpb.Observation { return messageOf[o] }

// observationFromMessage returns ObservedNothing for an observation of a later version.
func observationFromMessage(message exitverifierpb.Observation) Observation {
	for o, m := range messageOf {
		if m == message {
			return o
		}
	}
	return ObservedNothing
}
