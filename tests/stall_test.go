package tests

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// stall has hosts stand still, as on a machine that stalls, and go on: stall
// TIME HOST...
func (s *script) stall(args []string) error {
	if len(args) < 2 || s.cluster == nil {
		return errUsage
	}
	span, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	var stalled []*member
	for _, name := range args[1:] {
		members, err := s.cluster.find(name)
		if err != nil {
			return err
		}
		stalled = append(stalled, members...)
	}
	return withTimeout(func(ctx context.Context) error { return standStill(ctx, stalled, span) })
}

// standStill stops processes for a time.
func standStill(ctx context.Context, members []*member, span time.Duration) (err error) {
	defer func() {
		for _, m := range members {
			err = errors.Join(err, m.process.signal(syscall.SIGCONT))
		}
	}()
	for _, m := range members {
		if err := m.process.pause(ctx); err != nil {
			return err
		}
	}
	over := time.NewTimer(span)
	defer over.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-over.C:
		return nil
	}
}
