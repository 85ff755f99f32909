package ctl

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

func (s *session) registerActions(app *kingpin.Application) {
	s.registerDrain(app.Command("drain", "Give an upstream no new work; what it runs goes on."), true)
	s.registerDrain(app.Command("undrain", "Give an upstream new work again."), false)
	s.registerPause(app.Command("pause", "Stop moving the experts of a group."), true)
	s.registerPause(app.Command("resume", "Move the experts of a group again."), false)
}

func (s *session) registerDrain(cmd *kingpin.CmdClause, drained bool) {
	upstream := cmd.Arg("upstream", "Name of the upstream.").Required().String()
	f := s.addChangeFlags(cmd)
	s.command(cmd, func(ctx context.Context) error {
		return s.act(ctx, f, &cardamomyokev1.ActRequest{Action: &cardamomyokev1.ActRequest_DrainUpstream{
			DrainUpstream: &cardamomyokev1.DrainUpstream{Upstream: *upstream, Drained: drained},
		}})
	})
}

func (s *session) registerPause(cmd *kingpin.CmdClause, paused bool) {
	group := cmd.Arg("group", "Name of the group.").Required().String()
	f := s.addChangeFlags(cmd)
	s.command(cmd, func(ctx context.Context) error {
		return s.act(ctx, f, &cardamomyokev1.ActRequest{Action: &cardamomyokev1.ActRequest_PauseRebalancing{
			PauseRebalancing: &cardamomyokev1.PauseRebalancing{Group: *group, Paused: paused},
		}})
	})
}

func (s *session) registerForce(app *kingpin.Application) {
	force := app.Command("force", "Actions that overrule a safeguard; the operator vouches for their ground.")
	remove := force.Command("remove-nodes", "Wait no longer for nodes that are gone for good and do not run.")
	names := remove.Arg("name", "Names of nodes.").Required().Strings()
	removeFlags := s.addChangeFlags(remove)
	s.command(remove, func(ctx context.Context) error {
		return s.removeNodes(ctx, removeFlags, *names)
	})
	release := force.Command("release-lease", "Let another node take a duty at once.")
	duty := release.Arg("duty", "Name of the duty, as status lists it.").Required().String()
	releaseFlags := s.addChangeFlags(release)
	s.command(release, func(ctx context.Context) error {
		return s.act(ctx, releaseFlags, &cardamomyokev1.ActRequest{Action: &cardamomyokev1.ActRequest_ReleaseLease{
			ReleaseLease: &cardamomyokev1.ReleaseLease{Duty: *duty},
		}})
	})
}

// act sends an action that can be resent with the same operation id, and prints its outcome.
func (s *session) act(ctx context.Context, f *changeFlags, r *cardamomyokev1.ActRequest) error {
	base, err := s.committedRevision(ctx)
	if err != nil {
		return err
	}
	r.Meta, r.WaitMs = f.meta(base), f.waitMS()
	var response *cardamomyokev1.ActResponse
	err = sendWithRetry(ctx, f.operation, func(ctx context.Context) error {
		var err error
		response, err = s.client.Act(ctx, r)
		return err
	})
	if err != nil {
		return fmt.Errorf("act: %w", err)
	}
	return s.printAct(f, response)
}

// removeNodes removes nodes and prints the outcome. The request is sent only once: resent after it was applied, it would
// be refused, since its names no longer belong to members.
func (s *session) removeNodes(ctx context.Context, f *changeFlags, names []string) error {
	base, err := s.committedRevision(ctx)
	if err != nil {
		return err
	}
	response, err := s.client.Act(ctx, &cardamomyokev1.ActRequest{
		Meta: f.meta(base), WaitMs: f.waitMS(),
		Action: &cardamomyokev1.ActRequest_RemoveNodes{RemoveNodes: &cardamomyokev1.RemoveNodes{Names: names}},
	})
	if outcomeUnknown(err) {
		return &UnknownOutcomeError{f.operation, err}
	}
	if err != nil {
		return fmt.Errorf("remove nodes: %w", err)
	}
	return s.printAct(f, response)
}

func (s *session) printAct(f *changeFlags, response *cardamomyokev1.ActResponse) error {
	if response.GetOutcome() != nil {
		return s.printOutcome(f.operation, response.GetOutcome())
	}
	if s.output == outputJSON {
		return s.printJSON(outcomeJSON{f.operation, rawJSON(nil)})
	}
	fmt.Fprintln(s.out, "done")
	return nil
}
