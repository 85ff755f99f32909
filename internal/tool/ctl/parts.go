package ctl

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1/cardamomyokev1connect"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// partDecisions are the decisions of the command part, by their names on the command line.
var partDecisions = map[string]cardamomyokev1.PartState{
	"trust":  cardamomyokev1.PartState_PART_STATE_TRUSTED,
	"refuse": cardamomyokev1.PartState_PART_STATE_BARRED,
	"forget": cardamomyokev1.PartState_PART_STATE_UNSPECIFIED,
}

// partStates are the states of parts, as they are shown.
var partStates = map[cardamomyokev1.PartState]string{
	cardamomyokev1.PartState_PART_STATE_UNSPECIFIED: "open",
	cardamomyokev1.PartState_PART_STATE_REFUSED:     "refused",
	cardamomyokev1.PartState_PART_STATE_CLEARED:     "cleared",
	cardamomyokev1.PartState_PART_STATE_TRUSTED:     "trusted",
	cardamomyokev1.PartState_PART_STATE_BARRED:      "barred",
}

// PartError reports a text on the command line that names no part.
type PartError struct{ Text string }

// Error implements error.
func (e *PartError) Error() string {
	return fmt.Sprintf("part %q: want up to 16 hexadecimal digits", e.Text)
}

func (s *session) registerParts(app *kingpin.Application) {
	list := app.Command("parts", "Parts of prompts under which upstreams crashed, as each of the named gateways knows them.")
	gateways := list.Arg("gateway", "Peer address of a gateway, IP:PORT.").Required().Strings()
	s.command(list, func(ctx context.Context) error { return s.parts(ctx, *gateways) })

	decide := app.Command("part", "Decide on a part of prompts: trust it, refuse it, or forget what speaks against it. All gateways follow.")
	decision := decide.Arg("decision", "trust, refuse or forget.").Required().Enum("trust", "refuse", "forget")
	part := decide.Arg("part", "The part, as the command parts and the logs show it.").Required().String()
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

func (s *session) decidePart(ctx context.Context, state cardamomyokev1.PartState, text, gateway string) error {
	part, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return &PartError{text}
	}
	req := &cardamomyokev1.DecidePartRequest{Part: part, State: state, Operator: cmp.Or(s.operator, loginName())}
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
		text, partStates[res.GetPart().GetVerdict().GetState()], formatCount(res.GetPart().GetVerdict().GetRound()), yesNo(res.GetStored()),
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
		strconv.FormatUint(p.GetPart(), 16), partStates[v.GetState()], since, v.GetBy(),
		strconv.Itoa(len(p.GetEvidence())), formatCount(v.GetTrials()), yesNo(p.GetAnswered()),
	}
}
