package config

import (
	"fmt"
	"regexp"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// Limits of the values that operators may set.
const (
	maxNameLength    = 63
	maxDeadlineMS    = 10 * 60 * 1000
	maxBodyBytes     = 16 << 20
	maxRanks         = 1024
	maxExperts       = 4096
	maxLayers        = 512
	maxShare         = 1000
	maxPercent       = 100
	maxOutcomeTTLSec = 7 * 24 * 3600
	maxTextBytes     = 500
)

const nameFormat = "1 to 63 of a-z, 0-9 and - (not at the ends)"

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// Check returns *FieldError for the first invalid field of c, or nil.
func Check(c *cardamomyokev1.Configuration) error {
	classes, err := checkClasses(c.GetClasses())
	if err != nil {
		return err
	}
	services, err := checkServices(c.GetServices(), classes)
	if err != nil {
		return err
	}
	if err := checkGroups(c.GetGroups(), services); err != nil {
		return err
	}
	if err := checkClients(c.GetClients(), services); err != nil {
		return err
	}
	if err := checkUpstreams(c.GetUpstreams()); err != nil {
		return err
	}
	return checkPolicies(c.GetPolicies())
}

// nameSet is the set of names in one list. Its add method rejects invalid and duplicate names.
type nameSet map[string]bool

func (n nameSet) add(field, name string) error {
	if err := CheckName(field+".name", name); err != nil {
		return err
	}
	if n[name] {
		return &FieldError{field + ".name", fmt.Sprintf("a name that does not exist yet, got %q", name)}
	}
	n[name] = true
	return nil
}

func checkRange(field string, v, low, high uint64) error {
	if v < low || v > high {
		return &FieldError{field, fmt.Sprintf("%d to %d, got %d", low, high, v)}
	}
	return nil
}

func checkExists(field, name string, existing nameSet, kind string) error {
	if !existing[name] {
		return &FieldError{field, fmt.Sprintf("the name of an existing %s, got %q", kind, name)}
	}
	return nil
}

func checkClasses(list []*cardamomyokev1.PriorityClass) (nameSet, error) {
	seen := nameSet{}
	for i, v := range list {
		field := fmt.Sprintf("classes[%d]", i)
		if err := seen.add(field, v.GetName()); err != nil {
			return nil, err
		}
		if err := checkRange(field+".queue_limit", uint64(v.GetQueueLimit()), 1, 1<<20); err != nil {
			return nil, err
		}
	}
	return seen, nil
}

func checkServices(list []*cardamomyokev1.Service, classes nameSet) (nameSet, error) {
	seen := nameSet{}
	for i, v := range list {
		field := fmt.Sprintf("services[%d]", i)
		if err := seen.add(field, v.GetName()); err != nil {
			return nil, err
		}
		if err := checkService(field, v, classes); err != nil {
			return nil, err
		}
	}
	return seen, nil
}

func checkService(field string, v *cardamomyokev1.Service, classes nameSet) error {
	if v.GetKind() != cardamomyokev1.ServiceKind_SERVICE_KIND_MODEL && v.GetKind() != cardamomyokev1.ServiceKind_SERVICE_KIND_PLAIN {
		return &FieldError{field + ".kind", "SERVICE_KIND_MODEL or SERVICE_KIND_PLAIN"}
	}
	if err := checkExists(field+".class", v.GetClass(), classes, "priority class"); err != nil {
		return err
	}
	if err := checkRange(field+".deadline_ms", uint64(v.GetDeadlineMs()), 1, maxDeadlineMS); err != nil {
		return err
	}
	if err := checkRange(field+".max_body_bytes", uint64(v.GetMaxBodyBytes()), 1, maxBodyBytes); err != nil {
		return err
	}
	if err := checkRange(field+".retry_budget_percent", uint64(v.GetRetryBudgetPercent()), 0, maxPercent); err != nil {
		return err
	}
	if v.GetRepeatable() {
		return nil
	}
	return checkRange(field+".outcome_kept_s", uint64(v.GetOutcomeKeptS()), 1, maxOutcomeTTLSec)
}

func checkGroups(list []*cardamomyokev1.ModelGroup, services nameSet) error {
	seen := nameSet{}
	for i, v := range list {
		field := fmt.Sprintf("groups[%d]", i)
		if err := seen.add(field, v.GetName()); err != nil {
			return err
		}
		if err := checkGroup(field, v, services); err != nil {
			return err
		}
	}
	return nil
}

func checkGroup(field string, v *cardamomyokev1.ModelGroup, services nameSet) error {
	if err := checkExists(field+".service", v.GetService(), services, "service"); err != nil {
		return err
	}
	if err := checkRange(field+".ranks", uint64(v.GetRanks()), 1, maxRanks); err != nil {
		return err
	}
	if err := checkRange(field+".experts", uint64(v.GetExperts()), 1, maxExperts); err != nil {
		return err
	}
	if err := checkRange(field+".layers", uint64(v.GetLayers()), 1, maxLayers); err != nil {
		return err
	}
	r := v.GetRebalancing()
	if !(r.GetMoveWeight() >= 0) || !(r.GetHysteresis() >= 0) {
		return &FieldError{field + ".rebalancing", "move_weight and hysteresis of at least 0"}
	}
	return nil
}

func checkClients(list []*cardamomyokev1.ClientAccount, services nameSet) error {
	seen := nameSet{}
	for i, v := range list {
		field := fmt.Sprintf("clients[%d]", i)
		if err := seen.add(field, v.GetName()); err != nil {
			return err
		}
		if err := checkRange(field+".share", uint64(v.GetShare()), 1, maxShare); err != nil {
			return err
		}
		for j, name := range v.GetServices() {
			if err := checkExists(fmt.Sprintf("%s.services[%d]", field, j), name, services, "service"); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkUpstreams(list []*cardamomyokev1.UpstreamOverride) error {
	seen := nameSet{}
	for i, v := range list {
		if err := seen.add(fmt.Sprintf("upstreams[%d]", i), v.GetName()); err != nil {
			return err
		}
	}
	return nil
}

func checkPolicies(p *cardamomyokev1.Policies) error {
	if err := checkRange("policies.address_keep_ms", uint64(p.GetAddressKeepMs()), 100, 600_000); err != nil {
		return err
	}
	if err := checkRange("policies.ejection_percent", uint64(p.GetEjectionPercent()), 0, maxPercent); err != nil {
		return err
	}
	return checkRange("policies.quarantine_s", uint64(p.GetQuarantineS()), 1, 24*3600)
}
