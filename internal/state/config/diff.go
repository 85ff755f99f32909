package config

import (
	"google.golang.org/protobuf/proto"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// object is the interface of the objects that Diff compares.
type object interface {
	named
	proto.Message
}

// Diff returns the edits that turn base into wanted, in a sequence that Apply accepts. It ignores the revisions and the
// order of the objects in the lists, which has no meaning.
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
		before, exists := old[o.GetName()]
		delete(old, o.GetName())
		switch {
		case !exists:
			add(cardamomyokev1.EditAction_EDIT_ACTION_CREATE, o)
		case !proto.Equal(before, o):
			add(cardamomyokev1.EditAction_EDIT_ACTION_CHANGE, o)
		}
	}
	for _, o := range base {
		if _, removed := old[o.GetName()]; removed {
			add(cardamomyokev1.EditAction_EDIT_ACTION_DELETE, o)
		}
	}
	return out
}
