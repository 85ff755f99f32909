package config

import (
	"google.golang.org/protobuf/proto"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// object is what Diff needs of an object.
type object interface {
	named
	proto.Message
}

// Diff returns the edits that make wanted of base, in an order in which Apply takes them. The revision is ignored.
// The order of objects in the lists has no meaning and is not compared.
func Diff(base, wanted *cardamomyokev1.Configuration) []*cardamomyokev1.Edit {
	var out []*cardamomyokev1.Edit
	out = append(out, diffList(base.GetClasses(), wanted.GetClasses(), func(e *cardamomyokev1.Edit, o *cardamomyokev1.PriorityClass) {
		e.Object = &cardamomyokev1.Edit_Class{Class: o}
	})...)
	out = append(out, diffList(base.GetServices(), wanted.GetServices(), func(e *cardamomyokev1.Edit, o *cardamomyokev1.Service) {
		e.Object = &cardamomyokev1.Edit_Service{Service: o}
	})...)
	out = append(out, diffList(base.GetGroups(), wanted.GetGroups(), func(e *cardamomyokev1.Edit, o *cardamomyokev1.ModelGroup) {
		e.Object = &cardamomyokev1.Edit_Group{Group: o}
	})...)
	out = append(out, diffList(base.GetClients(), wanted.GetClients(), func(e *cardamomyokev1.Edit, o *cardamomyokev1.ClientAccount) {
		e.Object = &cardamomyokev1.Edit_Client{Client: o}
	})...)
	out = append(out, diffList(base.GetUpstreams(), wanted.GetUpstreams(), func(e *cardamomyokev1.Edit, o *cardamomyokev1.UpstreamOverride) {
		e.Object = &cardamomyokev1.Edit_Upstream{Upstream: o}
	})...)
	if wanted.GetPolicies() != nil && !proto.Equal(base.GetPolicies(), wanted.GetPolicies()) {
		out = append(out, &cardamomyokev1.Edit{
			Action: cardamomyokev1.EditAction_EDIT_ACTION_CHANGE,
			Object: &cardamomyokev1.Edit_Policies{Policies: wanted.GetPolicies()},
		})
	}
	return out
}

func diffList[T object](base, wanted []T, set func(*cardamomyokev1.Edit, T)) []*cardamomyokev1.Edit {
	var out []*cardamomyokev1.Edit
	add := func(a cardamomyokev1.EditAction, o T) {
		e := &cardamomyokev1.Edit{Action: a}
		set(e, o)
		out = append(out, e)
	}
	old := make(map[string]T, len(base))
	for _, o := range base {
		old[o.GetName()] = o
	}
	for _, o := range wanted {
		before, found := old[o.GetName()]
		delete(old, o.GetName())
		switch {
		case !found:
			add(cardamomyokev1.EditAction_EDIT_ACTION_CREATE, o)
		case !proto.Equal(before, o):
			add(cardamomyokev1.EditAction_EDIT_ACTION_CHANGE, o)
		}
	}
	for _, o := range base {
		if _, gone := old[o.GetName()]; gone {
			add(cardamomyokev1.EditAction_EDIT_ACTION_DELETE, o)
		}
	}
	return out
}
