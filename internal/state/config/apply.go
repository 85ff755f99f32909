package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// named is an object of a list in a Configuration.
type named interface {
	comparable
	GetName() string
}

// Apply returns the configuration that edits make of base, with the given revision, and checks it as a whole. base is
// not changed; the objects that no edit names are shared between the two, so that a change of one client account does
// not copy 30,000. It returns *FieldError, with a path that starts at the edit at fault where there is one.
func Apply(base *cardamomyokev1.Configuration, edits []*cardamomyokev1.Edit, revision uint64) (*cardamomyokev1.Configuration, error) {
	next := &cardamomyokev1.Configuration{
		Revision:  revision,
		Classes:   base.GetClasses(),
		Services:  base.GetServices(),
		Groups:    base.GetGroups(),
		Clients:   base.GetClients(),
		Policies:  base.GetPolicies(),
		Upstreams: base.GetUpstreams(),
	}
	if len(edits) == 0 {
		return nil, &FieldError{"edits", "at least one edit"}
	}
	for i, e := range edits {
		if err := applyEdit(next, fmt.Sprintf("edits[%d]", i), e); err != nil {
			return nil, err
		}
	}
	if err := Check(next); err != nil {
		return nil, blame(err, next, edits)
	}
	return next, nil
}

func applyEdit(c *cardamomyokev1.Configuration, field string, e *cardamomyokev1.Edit) error {
	var err error
	switch o := e.GetObject().(type) {
	case *cardamomyokev1.Edit_Class:
		c.Classes, err = editList(c.Classes, field+".class", e.GetAction(), o.Class)
	case *cardamomyokev1.Edit_Service:
		c.Services, err = editList(c.Services, field+".service", e.GetAction(), o.Service)
	case *cardamomyokev1.Edit_Group:
		c.Groups, err = editList(c.Groups, field+".group", e.GetAction(), o.Group)
	case *cardamomyokev1.Edit_Client:
		c.Clients, err = editList(c.Clients, field+".client", e.GetAction(), o.Client)
	case *cardamomyokev1.Edit_Upstream:
		c.Upstreams, err = editList(c.Upstreams, field+".upstream", e.GetAction(), o.Upstream)
	case *cardamomyokev1.Edit_Policies:
		if e.GetAction() != cardamomyokev1.EditAction_EDIT_ACTION_CHANGE {
			return &FieldError{field + ".action", "EDIT_ACTION_CHANGE for policies"}
		}
		c.Policies = o.Policies
	default:
		return &FieldError{field + ".object", "one object"}
	}
	return err
}

// editList returns a copy of list with one object created, changed or deleted; list itself is not changed.
func editList[T named](list []T, field string, action cardamomyokev1.EditAction, o T) ([]T, error) {
	var none T
	if o == none {
		return nil, &FieldError{field, "an object"}
	}
	at := slices.IndexFunc(list, func(v T) bool { return v.GetName() == o.GetName() })
	switch action {
	case cardamomyokev1.EditAction_EDIT_ACTION_CREATE:
		if at >= 0 {
			return nil, &FieldError{field + ".name", fmt.Sprintf("a name that is not taken (%q is)", o.GetName())}
		}
		return append(slices.Clip(list), o), nil
	case cardamomyokev1.EditAction_EDIT_ACTION_CHANGE, cardamomyokev1.EditAction_EDIT_ACTION_DELETE:
		if at < 0 {
			return nil, &FieldError{field + ".name", fmt.Sprintf("a name that exists, got %q", o.GetName())}
		}
	default:
		return nil, &FieldError{strings.TrimSuffix(field, field[strings.LastIndexByte(field, '.'):]) + ".action", "create, change or delete"}
	}
	next := slices.Clone(list)
	if action == cardamomyokev1.EditAction_EDIT_ACTION_DELETE {
		return slices.Delete(next, at, at+1), nil
	}
	next[at] = o
	return next, nil
}

// blame turns the path of a field in the whole configuration into one below the edit that set the object.
func blame(err error, c *cardamomyokev1.Configuration, edits []*cardamomyokev1.Edit) error {
	var fe *FieldError
	if !errors.As(err, &fe) {
		return err
	}
	object, rest := splitPath(fe.Field)
	for i, e := range edits {
		kind, at := position(c, e)
		if object == at {
			return &FieldError{fmt.Sprintf("edits[%d].%s%s", i, kind, rest), fe.Want}
		}
	}
	return err
}

// splitPath cuts "services[2].class" into "services[2]" and ".class".
func splitPath(path string) (object, rest string) {
	i := strings.IndexByte(path, '.')
	if i < 0 {
		return path, ""
	}
	return path[:i], path[i:]
}

// position returns the name of the edit's object and its path in c.
func position(c *cardamomyokev1.Configuration, e *cardamomyokev1.Edit) (kind, path string) {
	switch o := e.GetObject().(type) {
	case *cardamomyokev1.Edit_Class:
		return "class", index("classes", c.GetClasses(), o.Class)
	case *cardamomyokev1.Edit_Service:
		return "service", index("services", c.GetServices(), o.Service)
	case *cardamomyokev1.Edit_Group:
		return "group", index("groups", c.GetGroups(), o.Group)
	case *cardamomyokev1.Edit_Client:
		return "client", index("clients", c.GetClients(), o.Client)
	case *cardamomyokev1.Edit_Upstream:
		return "upstream", index("upstreams", c.GetUpstreams(), o.Upstream)
	}
	return "policies", "policies"
}

func index[T named](name string, list []T, o T) string {
	return fmt.Sprintf("%s[%d]", name, slices.Index(list, o))
}

// CheckMeta returns *FieldError unless operator, reason and operation id are set and of sensible length.
func CheckMeta(m *cardamomyokev1.ChangeMeta) error {
	if m.GetOperator() == "" || len(m.GetOperator()) > maxText {
		return &FieldError{"meta.operator", "1 to 500 bytes"}
	}
	if m.GetReason() == "" || len(m.GetReason()) > maxText {
		return &FieldError{"meta.reason", "1 to 500 bytes"}
	}
	return CheckName("meta.operation_id", m.GetOperationId())
}

// CheckName returns *FieldError unless name is fit to be the name of an object.
func CheckName(field, name string) error {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		return &FieldError{field, wantName}
	}
	return nil
}
