package slot

import (
	"errors"
	"testing"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/rawpeer"
)

// Guards against a broken answer of a service or an engine that the slot passes on, or takes for the state of the process.
func TestBrokenAnswerOfUpstreamIsRefused(t *testing.T) {
	t.Run("service", func(t *testing.T) {
		rawpeer.CheckBroken(t, rawpeer.Sound("200 OK", []string{"Content-Type: application/json"}, `{"a":1}`), func(t *testing.T, address string) error {
			_, err := testSlot(address).callPlain(t.Context(), testAttempt())
			return err
		})
	})
	t.Run("engine's load", func(t *testing.T) {
		rawpeer.CheckBroken(t, rawpeer.Sound("200 OK", nil, `{"start":"s"}`), func(t *testing.T, address string) error {
			start, err := testSlot(address).probeUpstream()
			if err == nil && start == "" {
				return errors.New("no start id")
			}
			return err
		})
	})
	t.Run("order", func(t *testing.T) {
		rawpeer.CheckBroken(t, rawpeer.Sound("200 OK", nil, ""), func(t *testing.T, address string) error {
			return (&orders{slot: testSlot(address)}).send(t.Context(), &cardamomyokev1.EngineOrder{})
		})
	})
}
