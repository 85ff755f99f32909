package config_test

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"
	"pgregory.net/rapid"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
	"github.com/cardamomyoke/cardamomyoke/internal/state/config"
)

const (
	create = cardamomyokev1.EditAction_EDIT_ACTION_CREATE
	change = cardamomyokev1.EditAction_EDIT_ACTION_CHANGE
	remove = cardamomyokev1.EditAction_EDIT_ACTION_DELETE
)

func clientEdit(action cardamomyokev1.EditAction, name string, share uint32) *cardamomyokev1.Edit {
	return &cardamomyokev1.Edit{Action: action, Object: &cardamomyokev1.Edit_Client{
		Client: &cardamomyokev1.ClientAccount{Name: name, Share: share},
	}}
}

func serviceEdit(action cardamomyokev1.EditAction, name string) *cardamomyokev1.Edit {
	return &cardamomyokev1.Edit{Action: action, Object: &cardamomyokev1.Edit_Service{
		Service: &cardamomyokev1.Service{Name: name},
	}}
}

// Guards against an error of Apply that does not name the invalid edit, and against an Apply that changes its base.
func TestApplyErrorNamesEdit(t *testing.T) {
	tests := map[string]struct {
		edits []*cardamomyokev1.Edit
		field string
	}{
		"no edits":            {nil, "edits"},
		"no action":           {[]*cardamomyokev1.Edit{clientEdit(0, "n", 1)}, "edits[0].action"},
		"no object":           {[]*cardamomyokev1.Edit{{Action: create}}, "edits[0].object"},
		"name exists":         {[]*cardamomyokev1.Edit{clientEdit(create, "c", 1)}, "edits[0].client.name"},
		"name does not exist": {[]*cardamomyokev1.Edit{clientEdit(change, "n", 1)}, "edits[0].client.name"},
		"invalid share":       {[]*cardamomyokev1.Edit{clientEdit(change, "c", 2), clientEdit(create, "n", 0)}, "edits[1].client.share"},
		"still in use":        {[]*cardamomyokev1.Edit{serviceEdit(remove, "desk-model")}, "groups[0].service"},
		"created and deleted": {[]*cardamomyokev1.Edit{clientEdit(create, "n", 1), clientEdit(remove, "n", 0)}, ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			base := validConfiguration()
			before := proto.Clone(base)
			_, err := config.Apply(base, tc.edits, 2)
			if diff := cmp.Diff(before, base, protocmp.Transform()); diff != "" {
				t.Fatalf("base was changed: %s", diff)
			}
			var fe *config.FieldError
			if tc.field == "" && err == nil {
				return
			}
			if !errors.As(err, &fe) || fe.Field != tc.field {
				t.Fatalf("got %v, want %s", err, tc.field)
			}
		})
	}
}

// Guards against edits of Diff that, for some pair of configurations, do not turn the first into the second when they
// are applied.
func TestDiffApplyRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		generate := func(label string) *cardamomyokev1.Configuration {
			c := validConfiguration()
			for i, share := range rapid.SliceOfN(rapid.Uint32Range(1, 3), 0, 5).Draw(t, label) {
				c.Clients = append(c.Clients, &cardamomyokev1.ClientAccount{Name: string(rune('d' + i)), Share: share})
			}
			return c
		}
		base, wanted := generate("base"), generate("wanted")
		edits := config.Diff(base, wanted)
		got := base
		if len(edits) > 0 {
			var err error
			if got, err = config.Apply(base, edits, 1); err != nil {
				t.Fatal(err)
			}
		}
		if remaining := config.Diff(got, wanted); len(remaining) != 0 || len(config.Diff(wanted, got)) != 0 {
			t.Fatalf("remaining edits: %v", remaining)
		}
	})
}

func TestCheckMeta(t *testing.T) {
	valid := &cardamomyokev1.ChangeMeta{Operator: "o", Reason: "r", OperationId: "a-1"}
	if err := config.CheckMeta(valid); err != nil {
		t.Fatal(err)
	}
	invalid := map[string]func(*cardamomyokev1.ChangeMeta){
		"meta.operator":     func(m *cardamomyokev1.ChangeMeta) { m.Operator = "" },
		"meta.reason":       func(m *cardamomyokev1.ChangeMeta) { m.Reason = "" },
		"meta.operation_id": func(m *cardamomyokev1.ChangeMeta) { m.OperationId = "a/b" },
	}
	for field, invalidate := range invalid {
		m := proto.Clone(valid).(*cardamomyokev1.ChangeMeta)
		invalidate(m)
		var fe *config.FieldError
		if err := config.CheckMeta(m); !errors.As(err, &fe) || fe.Field != field {
			t.Errorf("got %v, want %s", err, field)
		}
	}
}
