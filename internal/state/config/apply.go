package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// named is the interface of the objects in the lists of a Configuration.
type named interface {
	comparable
	GetName() string
}

// Apply applies edits to base and returns the result with the given revision, after checking it as a whole. base is not
// changed. Objects that no edit names are shared between the two, so that a change of one client account does not copy
// 30,000. It returns *FieldError, whose path starts at the invalid edit if one edit is the cause.
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
		return nil, attributeToEdit(err, next, edits)
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

// editList returns a copy of list in which o is created, changed or deleted. list itself is not changed.
func editList[T named](list []T, field string, action cardamomyokev1.EditAction, o T) ([]T, error) {
	var zero T
	if o == zero {
		return nil, &FieldError{field, "an object"}
	}
	at := slices.IndexFunc(list, func(v T) bool { return v.GetName() == o.GetName() })
	switch action {
	case cardamomyokev1.EditAction_EDIT_ACTION_CREATE:
		if at >= 0 {
			return nil, &FieldError{field + ".name", fmt.Sprintf("a name that does not exist yet, got %q", o.GetName())}
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

// attributeToEdit converts a field path within the configuration to a path within the edit that set the object. It returns
// err unchanged if no edit did.
func attributeToEdit(err error, c *cardamomyokev1.Configuration, edits []*cardamomyokev1.Edit) error {
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

// splitPath splits "services[2].class" into "services[2]" and ".class".
func splitPath(path string) (object, rest string) {
	i := strings.IndexByte(path, '.')
	if i < 0 {
		return path, ""
	}
	return path[:i], path[i:]
}

// position returns the kind of the edit's object and the object's path in c.
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

func index[T named](field string, list []T, o T) string {
	return fmt.Sprintf("%s[%d]", field, slices.Index(list, o))
}

// CheckMeta returns *FieldError unless the operator and the reason have 1 to maxTextBytes bytes and the operation id is a
// valid name.
func CheckMeta(m *cardamomyokev1.ChangeMeta) error {
	if m.GetOperator() == "" || len(m.GetOperator()) > maxTextBytes {
		return &FieldError{"meta.operator", "1 to 500 bytes"}
	}
	if m.GetReason() == "" || len(m.GetReason()) > maxTextBytes {
		return &FieldError{"meta.reason", "1 to 500 bytes"}
	}
	return CheckName("meta.operation_id", m.GetOperationId())
}

// CheckName returns *FieldError for field unless name is a valid name of an object.
func CheckName(field, name string) error {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		return &FieldError{field, nameFormat}
	}
	return nil
}
