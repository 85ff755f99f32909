package platform_test

import (
	"testing"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/rawpeer"
)

// Guards against a broken answer of the platform that is taken for rows, an object or an acknowledgement.
func TestBrokenAnswerOfPlatformIsRefused(t *testing.T) {
	for name, call := range map[string]func(*testing.T, *platform.HTTP) error{
		"get":    func(t *testing.T, h *platform.HTTP) error { _, err := h.Get(t.Context(), "k"); return err },
		"list":   func(t *testing.T, h *platform.HTTP) error { _, err := h.List(t.Context(), "", "", 1); return err },
		"object": func(t *testing.T, h *platform.HTTP) error { _, err := h.GetObject(t.Context(), "o"); return err },
		"commit": func(t *testing.T, h *platform.HTTP) error {
			_, err := h.Commit(t.Context(), platform.Txn{Operation: "op-1"})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			rawpeer.CheckBroken(t, rawpeer.Sound("200 OK", nil, `{"rows":[]}`), func(t *testing.T, address string) error {
				return call(t, platform.NewHTTP(address, time.Second))
			})
		})
	}
}
