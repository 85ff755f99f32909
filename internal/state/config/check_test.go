package config_test

import (
	"errors"
	"math"
	"testing"

	"google.golang.org/protobuf/proto"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
)

func validConfiguration() *cardamomyokev1.Configuration {
	return &cardamomyokev1.Configuration{
		Revision: 1,
		Classes:  []*cardamomyokev1.PriorityClass{{Name: "first", QueueLimit: 10}},
		Services: []*cardamomyokev1.Service{{
			Name: "desk-model", Kind: cardamomyokev1.ServiceKind_SERVICE_KIND_MODEL, Class: "first", Repeatable: true,
			DeadlineMs: 1000, MaxBodyBytes: 1000,
		}},
		Groups:   []*cardamomyokev1.ModelGroup{{Name: "g", Service: "desk-model", Ranks: 4, Experts: 8, Layers: 1}},
		Clients:  []*cardamomyokev1.ClientAccount{{Name: "c", Share: 1, Services: []string{"desk-model"}}},
		Policies: &cardamomyokev1.Policies{AddressKeepMs: 5000, EjectionPercent: 30, QuarantineS: 60},
	}
}

// Guards against an error that names another field than the invalid one.
func TestSnapshotErrorNamesField(t *testing.T) {
	tests := map[string]func(*cardamomyokev1.Configuration){
		"":                           func(*cardamomyokev1.Configuration) {},
		"classes[0].queue_limit":     func(c *cardamomyokev1.Configuration) { c.Classes[0].QueueLimit = 0 },
		"services[0].name":           func(c *cardamomyokev1.Configuration) { c.Services[0].Name = "A b" },
		"services[0].kind":           func(c *cardamomyokev1.Configuration) { c.Services[0].Kind = 0 },
		"services[0].class":          func(c *cardamomyokev1.Configuration) { c.Services[0].Class = "none" },
		"services[0].deadline_ms":    func(c *cardamomyokev1.Configuration) { c.Services[0].DeadlineMs = 0 },
		"services[0].outcome_kept_s": func(c *cardamomyokev1.Configuration) { c.Services[0].Repeatable = false },
		"services[1].name":           func(c *cardamomyokev1.Configuration) { c.Services = append(c.Services, c.Services[0]) },
		"groups[0].service":          func(c *cardamomyokev1.Configuration) { c.Groups[0].Service = "none" },
		"groups[0].ranks":            func(c *cardamomyokev1.Configuration) { c.Groups[0].Ranks = 0 },
		"groups[0].rebalancing": func(c *cardamomyokev1.Configuration) {
			c.Groups[0].Rebalancing = &cardamomyokev1.Rebalancing{MoveWeight: math.NaN()}
		},
		"clients[0].share":                 func(c *cardamomyokev1.Configuration) { c.Clients[0].Share = 0 },
		"clients[0].services[0]":           func(c *cardamomyokev1.Configuration) { c.Clients[0].Services[0] = "none" },
		"policies.address_keep_ms":         func(c *cardamomyokev1.Configuration) { c.Policies = nil },
		"policies.ejection_percent":        func(c *cardamomyokev1.Configuration) { c.Policies.EjectionPercent = 101 },
		"services[0].max_body_bytes":       func(c *cardamomyokev1.Configuration) { c.Services[0].MaxBodyBytes = math.MaxUint32 },
		"services[0].retry_budget_percent": func(c *cardamomyokev1.Configuration) { c.Services[0].RetryBudgetPercent = 101 },
	}
	for field, change := range tests {
		t.Run(field, func(t *testing.T) {
			c := proto.Clone(validConfiguration()).(*cardamomyokev1.Configuration)
			change(c)
			_, err := config.NewSnapshot(c)
			if field == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			var fe *config.FieldError
			if !errors.As(err, &fe) || fe.Field != field {
				t.Fatalf("got %v", err)
			}
		})
	}
}
