package failure_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/cardamomyoke/cardamomyoke/internal/base/failure"
)

func TestNotRunCodesCarryAProof(t *testing.T) {
	for code, m := range failure.Codes() {
		got := failure.New(code, nil).Proof
		if m.NotRun && got == failure.ProofNone {
			t.Errorf("%s promises not run without a proof", code)
		}
		if !m.NotRun && got != failure.ProofNone {
			t.Errorf("%s carries proof %q but promises nothing", code, got)
		}
		if m.Status < 400 || m.Text == "" {
			t.Errorf("%s has no usable meaning: %+v", code, m)
		}
	}
}

func TestFromFindsAWrappedFailure(t *testing.T) {
	inner := failure.New(failure.CodeOverloaded, nil)
	if got := failure.CodeOf(fmt.Errorf("admit: %w", inner)); got != failure.CodeOverloaded {
		t.Fatalf("CodeOf = %s", got)
	}
	if !errors.Is(fmt.Errorf("admit: %w", inner), failure.New(failure.CodeOverloaded, nil)) {
		t.Fatal("errors.Is does not match by code")
	}
	if got := failure.CodeOf(fmt.Errorf("plain")); got != failure.CodeInternal {
		t.Fatalf("CodeOf(plain) = %s", got)
	}
}
