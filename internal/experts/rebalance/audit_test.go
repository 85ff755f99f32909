package rebalance_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap"
	"github.com/cardamomyoke/cardamomyoke/internal/experts/rebalance"
	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/audit"
	platform "github.com/cardamomyoke/cardamomyoke/internal/testing/standin/platform"
)

// ranksWithoutMap reports ranks that run no map.
type ranksWithoutMap struct{}

func (ranksWithoutMap) Report(_ context.Context, _ ids.Group, rank int, _ uint64) (*cardamomyokev1.GetRankReportResponse, error) {
	return &cardamomyokev1.GetRankReportResponse{Rank: uint32(rank)}, nil
}

// fixedProposer returns the same result for every proposal.
type fixedProposer struct{ err error }

func (p fixedProposer) Propose(_ context.Context, _ ids.Fence, to expertmap.MapID) (expertmap.Result, error) {
	return expertmap.Result{To: to, Start: 42, Err: p.err}, p.err
}

// Guards against an audit without a switch that succeeded, or with one that failed. A row must name both maps, the
// first step and the cause.
func TestSwitchesAreAudited(t *testing.T) {
	for _, c := range []struct {
		err  error
		want string
	}{{nil, "map-switched g: no map -> map 1; from step 42; first"}, {failure.New(failure.CodeQuarantined, nil), ""}} {
		var got []string
		s := platform.NewStore(platform.Limits{})
		g := rebalance.New(t.Context(), rebalance.Options{
			Group: "g", Config: &cardamomyokev1.ModelGroup{Name: "g", Ranks: 2, Experts: 4, Layers: 1},
			RankClient: ranksWithoutMap{}, Proposer: fixedProposer{c.err}, Objects: s, Weights: s, Logger: log.NewNopLogger(),
			Audit: func(_ time.Time, r *audit.Row) {
				name, rest, _ := strings.Cut(r.GetAfter(), " (")
				_, step, _ := strings.Cut(rest, ") ")
				got = append(got, fmt.Sprintf("%s %s: %s -> %s; %s; %s", r.GetKind(), r.GetSubject(), r.GetBefore(), name, step, r.GetReason()))
			},
		})
		if _, err := g.RunRound(t.Context(), time.Unix(1000, 0), 1); (err == nil) != (c.err == nil) {
			t.Fatalf("round: %v", err)
		}
		if strings.Join(got, "; ") != c.want {
			t.Fatalf("got %q, want %q", got, c.want)
		}
	}
}

// ranksWithMap reports ranks that run one stored map.
type ranksWithMap struct{ name string }

func (r ranksWithMap) Report(_ context.Context, _ ids.Group, rank int, _ uint64) (*cardamomyokev1.GetRankReportResponse, error) {
	return &cardamomyokev1.GetRankReportResponse{Rank: uint32(rank), MapVersion: 1, MapName: r.name, Window: 1, Tokens: make([]uint32, 4)}, nil
}

// recordingProposer records the maps that are proposed.
type recordingProposer struct{ to []expertmap.MapID }

func (p *recordingProposer) Propose(_ context.Context, _ ids.Fence, to expertmap.MapID) (expertmap.Result, error) {
	p.to = append(p.to, to)
	return expertmap.Result{To: to, Start: 42}, nil
}

// Guards against decisions, and a crash, on a map of another size than the group has.
func TestMapOfAnotherShapeIsRefused(t *testing.T) {
	s := platform.NewStore(platform.Limits{})
	options := rebalance.Options{Group: "g", Objects: s, Weights: s, Logger: log.NewNopLogger()}
	first := options
	proposer := &recordingProposer{}
	first.Config, first.RankClient, first.Proposer = &cardamomyokev1.ModelGroup{Name: "g", Ranks: 2, Experts: 4, Layers: 1}, ranksWithoutMap{}, proposer
	if _, err := rebalance.New(t.Context(), first).RunRound(t.Context(), time.Unix(1000, 0), 1); err != nil || len(proposer.to) != 1 {
		t.Fatalf("proposed %v, %v", proposer.to, err)
	}
	second := options
	second.Config, second.RankClient, second.Proposer = &cardamomyokev1.ModelGroup{Name: "g", Ranks: 3, Experts: 6, Layers: 2}, ranksWithMap{proposer.to[0].Name}, proposer
	var shape *rebalance.ShapeError
	if _, err := rebalance.New(t.Context(), second).RunRound(t.Context(), time.Unix(1001, 0), 1); !errors.As(err, &shape) {
		t.Fatalf("got %v", err)
	}
}
