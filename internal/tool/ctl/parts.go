package ctl

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/blame"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// partDecisions are the decisions of the command part, by their names on the command line.
var partDecisions = map[string]blame.State{"trust": blame.Trusted, "refuse": blame.Barred, "forget": blame.Open}

func (s *session) registerParts(app *kingpin.Application) {
	list := app.Command("parts", "Parts of prompts under which upstreams crashed, as each of the named gateways knows them.")
	gateways := list.Arg("gateway", "Peer address of a gateway, IP:PORT.").Required().Strings()
	s.command(list, func(ctx context.Context) error { return s.parts(ctx, *gateways) })

	decide := app.Command("part", "Decide on a part of prompts: trust it, refuse it, or forget what speaks against it. All gateways follow.")
	decision := decide.Arg("decision", "trust, refuse or forget.").Required().Enum("trust", "refuse", "forget")
	part := decide.Arg("part", "The part, as `parts` and the logs show it.").Required().String()
	gateway := decide.Arg("gateway", "Peer address of a gateway, IP:PORT.").Required().String()
	s.command(decide, func(ctx context.Context) error { return s.decidePart(ctx, partDecisions[*decision], *part, *gateway) })
}

// parts prints what each gateway knows. It asks all of them and returns the first error.
func (s *session) parts(ctx context.Context, gateways []string) error {
	responses, failed := askGateways(ctx, s, gateways, getParts)
	if s.output == outputJSON {
		for _, res := range responses {
			if err := s.printProto(res); err != nil {
				return err
			}
		}
		return failed
	}
	s.printParts(responses)
	return failed
}

func getParts(ctx context.Context, address string) (*cardamomyokev1.GetPartsResponse, error) {
	return cardamomyokev1connect.NewPartServiceClient(http.DefaultClient, "http://"+address).GetParts(ctx, &cardamomyokev1.GetPartsRequest{})
}

func (s *session) decidePart(ctx context.Context, state blame.State, text, gateway string) error {
	part, err := blame.ParsePart(text)
	if err != nil {
		return err
	}
	req := &cardamomyokev1.DecidePartRequest{Part: uint64(part), State: state.Proto(), Operator: cmp.Or(s.operator, loginName())}
	res, err := askGateway(ctx, gateway, func(ctx context.Context, address string) (*cardamomyokev1.DecidePartResponse, error) {
		return cardamomyokev1connect.NewPartServiceClient(http.DefaultClient, "http://"+address).DecidePart(ctx, req)
	})
	if err != nil {
		return err
	}
	if s.output == outputJSON {
		return s.printProto(res)
	}
	s.printTable([]string{"PART", "DECISION", "ROUND", "STORED"}, [][]string{{
		text, blame.StateFromProto(res.GetPart().GetVerdict().GetState()).String(), formatCount(res.GetPart().GetVerdict().GetRound()), yesNo(res.GetStored()),
	}})
	return nil
}

func (s *session) printParts(responses []*cardamomyokev1.GetPartsResponse) {
	var rows [][]string
	for _, res := range responses {
		row := platform.Position{Era: res.GetRowEra(), Version: res.GetRowVersion()}.String()
		if len(res.GetParts()) == 0 {
			rows = append(rows, []string{res.GetNode(), "none", "", "", "", "", "", "", row, yesNo(res.GetStored())})
		}
		for _, p := range res.GetParts() {
			rows = append(rows, append([]string{res.GetNode()}, append(partColumns(p), row, yesNo(res.GetStored()))...))
		}
	}
	s.printTable([]string{"GATEWAY", "PART", "DECISION", "SINCE", "BY", "CRASHES", "TRIALS", "ANSWERED", "ROW", "STORED"}, rows)
}

func partColumns(p *cardamomyokev1.SuspectPart) []string {
	v := p.GetVerdict()
	since := "-"
	if v.GetAtMs() != 0 {
		since = time.UnixMilli(v.GetAtMs()).UTC().Format(time.RFC3339)
	}
	return []string{
		blame.Part(p.GetPart()).String(), blame.StateFromProto(v.GetState()).String(), since, v.GetBy(),
		strconv.Itoa(len(p.GetEvidence())), formatCount(v.GetTrials()), yesNo(p.GetAnswered()),
	}
}
