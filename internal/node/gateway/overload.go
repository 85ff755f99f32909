package gateway

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/dispatch"
	"github.com/cardamomyoke/cardamomyoke/internal/policy/fairshare"
	"github.com/cardamomyoke/cardamomyoke/internal/state/catalog"
)

// Overload selects rules for the time in which there is too little room. All of them are off by default.
type Overload struct {
	// FairAccounts orders requests by fair shares of client accounts over all gateways.
	FairAccounts bool `yaml:"fair_accounts"`
	// AccountWeights are the weights of the accounts' shares; 1 for all others.
	AccountWeights map[ids.Client]float64 `yaml:"account_weights,omitempty"`
	// LeastPart is the part of the starts that each class of a service gets at least while its requests wait.
	LeastPart float64 `yaml:"least_part"`
}

const (
	maxAccountWeight = 1000
	// maxLeastPart bounds the part of a class, so that the most urgent one keeps half of the starts next to two others.
	maxLeastPart = 0.25
)

func (o *Overload) check() error {
	if !(o.LeastPart >= 0 && o.LeastPart <= maxLeastPart) {
		return &settings.KeyError{Path: "$.overload.least_part", Want: fmt.Sprintf("0 to %g", maxLeastPart), Got: strconv.FormatFloat(o.LeastPart, 'g', -1, 64)}
	}
	if len(o.AccountWeights) > 0 && !o.FairAccounts {
		return &settings.KeyError{Path: "$.overload.account_weights", Want: "no weights without fair_accounts", Got: fmt.Sprintf("%d weights", len(o.AccountWeights))}
	}
	for _, name := range slices.Sorted(maps.Keys(o.AccountWeights)) {
		if w := o.AccountWeights[name]; !(w > 0 && w <= maxAccountWeight) {
			return &settings.KeyError{
				Path: fmt.Sprintf("$.overload.account_weights[%s]", name), Want: fmt.Sprintf("above 0, at most %d", maxAccountWeight),
				Got: strconv.FormatFloat(w, 'g', -1, 64),
			}
		}
	}
	return nil
}

// apply sets the pool options that the rules need.
func (o *Overload) apply(options *dispatch.Options) {
	options.FairAccounts, options.LeastPart = o.FairAccounts, o.LeastPart
	if len(o.AccountWeights) > 0 {
		options.AccountWeights = make(map[fairshare.Account]float64, len(o.AccountWeights))
		for name, weight := range o.AccountWeights {
			options.AccountWeights[fairshare.AccountOf(name)] = weight
		}
	}
}

// work returns the tokens of work of a request: those of its prompt, and those that it is expected to generate in units of prompt
// tokens that take the engine as long. It is 0 for plain services.
func (c *Call) work(e *catalog.Engine) int {
	if e == nil {
		return 0
	}
	output := float64(c.OutputHint)
	if output == 0 {
		output = e.MeanOutputTokens
	}
	if c.MaxOutputTokens > 0 {
		output = min(output, float64(c.MaxOutputTokens))
	}
	return c.PromptTokens + int(output*promptTokensPerOutput(e))
}

// promptTokensPerOutput returns how many prompt tokens an engine reads in the time that a generated token takes from the others of
// a full batch.
func promptTokensPerOutput(e *catalog.Engine) float64 {
	perToken := e.StepBase.Seconds()/float64(max(1, e.Slots)) + e.StepPerRequest.Seconds()
	return perToken * e.PromptTokensPerSecond
}
