package ctl

import (
	"context"
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

func (s *session) registerWatch(app *kingpin.Application) {
	cmd := app.Command("watch", "Print the state of acceptance now and after each change of it, until interrupted.")
	count := cmd.Flag("count", "End after this many states; 0 for none.").Uint64()
	s.commands[cmd.FullCommand()] = func(ctx context.Context) error { return s.watch(ctx, *count) }
}

func (s *session) watch(ctx context.Context, count uint64) error {
	stream, err := s.client.Watch(ctx, &cardamomyokev1.WatchRequest{})
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	defer func() { _ = stream.Close() }()
	for n := uint64(0); count == 0 || n < count; n++ {
		if !stream.Receive() {
			return s.watchError(ctx, stream.Err())
		}
		if err := s.printWatch(stream.Msg()); err != nil {
			return err
		}
	}
	return nil
}

// watchError returns the error that ended a stream. An interrupt by the operator is not an error.
func (s *session) watchError(ctx context.Context, err error) error {
	if ctx.Err() != nil || err == nil {
		return nil
	}
	return fmt.Errorf("watch: %w", err)
}

func (s *session) printWatch(m *cardamomyokev1.WatchResponse) error {
	if s.output == outputJSON {
		return s.printProto(m)
	}
	r := m.GetRevisions()
	_, err := fmt.Fprintf(s.out, "revision %d in force; entry %d accepted, %d committed; fresh %s; table %s; waiting for [%s]\n",
		r.GetInForceRevision(), r.GetAcceptedSeq(), r.GetCommittedSeq(), yesNo(r.GetFresh()), upDown(r.GetTableUp()),
		strings.Join(r.GetPending(), ", "))
	return err
}
