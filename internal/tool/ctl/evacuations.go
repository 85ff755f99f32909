package ctl

import (
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

// gatewayTimeout bounds the call to one gateway, which answers from memory.
const gatewayTimeout = 3 * time.Second

// GatewayError reports that a gateway could not be asked.
type GatewayError struct {
	Gateway string
	Cause   error
}

// Error implements error.
func (e *GatewayError) Error() string { return fmt.Sprintf("gateway %s: %v", e.Gateway, e.Cause) }

// Unwrap returns the cause.
func (e *GatewayError) Unwrap() error { return e.Cause }

func (s *session) registerEvacuations(app *kingpin.Application) {
	cmd := app.Command("evacuations", "Evacuated data centres and what still runs there, as each of the named gateways knows them.")
	gateways := cmd.Arg("gateway", "Peer address of a gateway, IP:PORT.").Required().Strings()
	s.command(cmd, func(ctx context.Context) error { return s.evacuations(ctx, *gateways) })
}

// evacuations prints what each gateway knows. It asks all of them and returns the first error.
func (s *session) evacuations(ctx context.Context, gateways []string) error {
	responses, failed := askGateways(ctx, s, gateways, getEvacuations)
	if s.output == outputJSON {
		for _, res := range responses {
			if err := s.printProto(res); err != nil {
				return err
			}
		}
		return failed
	}
	s.printEvacuations(responses)
	return failed
}

// askGateways asks each gateway, and returns the responses and the first error. It prints the other errors.
func askGateways[T any](ctx context.Context, s *session, gateways []string, ask func(ctx context.Context, address string) (T, error)) ([]T, error) {
	var responses []T
	var failed error
	for _, address := range gateways {
		res, err := askGateway(ctx, address, ask)
		switch {
		case err == nil:
			responses = append(responses, res)
		case failed == nil:
			failed = err
		default:
			fmt.Fprintln(s.errOut, "cardamomyokectl:", err)
		}
	}
	return responses, failed
}

// askGateway asks one gateway. Errors: *GatewayError.
func askGateway[T any](ctx context.Context, address string, ask func(ctx context.Context, address string) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, gatewayTimeout)
	defer cancel()
	res, err := ask(ctx, address)
	if err != nil {
		return res, &GatewayError{address, err}
	}
	return res, nil
}

func getEvacuations(ctx context.Context, address string) (*cardamomyokev1.GetEvacuationsResponse, error) {
	return cardamomyokev1connect.NewEvacuationServiceClient(http.DefaultClient, "http://"+address).GetEvacuations(ctx, &cardamomyokev1.GetEvacuationsRequest{})
}

func (s *session) printEvacuations(responses []*cardamomyokev1.GetEvacuationsResponse) {
	var rows [][]string
	for _, res := range responses {
		table := platform.Position{Era: res.GetTableEra(), Version: res.GetTableVersion()}.String()
		if len(res.GetEvacuations()) == 0 {
			rows = append(rows, []string{res.GetNode(), evacuationNone(res), "", "", table, yesNo(res.GetFollowing()), "", "", "", ""})
		}
		for _, e := range res.GetEvacuations() {
			rows = append(rows, []string{
				res.GetNode(), e.GetDataCentre(), formatAge(e.GetAgeMs()), platform.Position{Era: e.GetEra(), Version: e.GetVersion()}.String(),
				table, yesNo(res.GetFollowing()), formatCount(e.GetUpstreams()), formatCount(e.GetRunning()), formatCount(e.GetRunningElsewhere()), formatIdle(e),
			})
		}
	}
	s.printTable([]string{"GATEWAY", "EVACUATED", "SINCE", "ROW", "TABLE", "FOLLOWS STORE", "UPSTREAMS", "RUNNING", "ELSEWHERE", "NONE SINCE"}, rows)
}

func evacuationNone(res *cardamomyokev1.GetEvacuationsResponse) string {
	if res.GetEnabled() {
		return "none"
	}
	return "off"
}

func formatCount(n uint32) string { return strconv.FormatUint(uint64(n), 10) }

func formatAge(ms uint64) string {
	return (time.Duration(ms) * time.Millisecond).Round(100*time.Millisecond).String() + " ago"
}

func formatIdle(e *cardamomyokev1.Evacuation) string {
	if e.GetRunning() > 0 {
		return "-"
	}
	return formatAge(e.GetIdleMs())
}
