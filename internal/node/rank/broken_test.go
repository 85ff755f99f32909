package rank_test

import (
	"testing"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/expertmap"
	"github.com/cardamomyoke/cardamomyoke/internal/node/rank"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/rawpeer"
)

// Guards against a broken answer of an engine that is taken for its rank's state or for the reply to an order.
func TestBrokenAnswerOfEngineIsRefused(t *testing.T) {
	t.Run("state", func(t *testing.T) {
		rawpeer.CheckBroken(t, rawpeer.Sound("200 OK", nil, "{}"), func(t *testing.T, address string) error {
			_, err := rank.NewEngine(address, "g", 0).Report(t.Context())
			return err
		})
	})
	t.Run("order", func(t *testing.T) {
		rawpeer.CheckBroken(t, rawpeer.Sound("200 OK", nil, ""), func(t *testing.T, address string) error {
			return rank.NewEngine(address, "g", 0).Do(t.Context(), expertmap.Order{})
		})
	})
}

// Guards against the state of a rank that is followed by other bytes in its answer.
func TestStateOfRankIsTheWholeAnswer(t *testing.T) {
	address := rawpeer.ServeOnce(t, rawpeer.Response{Text: rawpeer.Sound("200 OK", nil, `{}{"Engine":{}}`)})
	if _, err := rank.NewEngine(address, "g", 0).Report(t.Context()); err == nil {
		t.Fatal("two documents were taken for the state of a rank")
	}
}
