package entry

import (
	"testing"

	"github.com/go-kit/log"

	"github.com/cardamomyoke/cardamomyoke/internal/base/httpclient"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/attempt"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/rawpeer"
)

// Guards against a broken answer of a slot that is passed on, or taken for the promise that an attempt never runs.
func TestBrokenAnswerOfSlotIsRefused(t *testing.T) {
	e := &Entry{client: httpclient.New(httpclient.Options{}), metrics: newEntryMetrics(), logger: log.NewNopLogger()}
	t.Run("service", func(t *testing.T) {
		a := proofAttempt("s1", "", 1, true)
		sound := rawpeer.Sound("200 OK", []string{attempt.HeaderAttempt + ": " + a.id.String()}, "the whole body")
		rawpeer.CheckBroken(t, sound, func(t *testing.T, address string) error {
			a.to.Address = address
			res, err := e.send(t.Context(), a)
			if err != nil {
				return err
			}
			defer res.Release(false)
			_, err = readPlain(res)
			return err
		})
	})
	t.Run("fence", func(t *testing.T) {
		a := proofAttempt("s1", "", 1, true)
		sound := rawpeer.Sound("200 OK", []string{attempt.HeaderFence + ": " + a.id.String()}, "")
		rawpeer.CheckBroken(t, sound, func(_ *testing.T, address string) error {
			a.to.Address = address
			if !e.fence(a) {
				return &UnframedError{}
			}
			return nil
		})
	})
}
