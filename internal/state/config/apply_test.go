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

func client(action cardamomyokev1.EditAction, name string, share uint32) *cardamomyokev1.Edit {
	return &cardamomyokev1.Edit{Action: action, Object: &cardamomyokev1.Edit_Client{
		Client: &cardamomyokev1.ClientAccount{Name: name, Share: share},
	}}
}

func service(action cardamomyokev1.EditAction, name string) *cardamomyokev1.Edit {
	return &cardamomyokev1.Edit{Action: action, Object: &cardamomyokev1.Edit_Service{
		Service: &cardamomyokev1.Service{Name: name},
	}}
}

func TestApplyNamesTheEdit(t *testing.T) {
	tests := map[string]struct {
		edits []*cardamomyokev1.Edit
		field string
	}{
		"nothing":         {nil, "edits"},
		"no action":       {[]*cardamomyokev1.Edit{client(0, "n", 1)}, "edits[0].action"},
		"no object":       {[]*cardamomyokev1.Edit{{Action: create}}, "edits[0].object"},
		"taken":           {[]*cardamomyokev1.Edit{client(create, "c", 1)}, "edits[0].client.name"},
		"missing":         {[]*cardamomyokev1.Edit{client(change, "n", 1)}, "edits[0].client.name"},
		"invalid":         {[]*cardamomyokev1.Edit{client(change, "c", 2), client(create, "n", 0)}, "edits[1].client.share"},
		"still in use":    {[]*cardamomyokev1.Edit{service(remove, "desk-model")}, "groups[0].service"},
		"created, no use": {[]*cardamomyokev1.Edit{client(create, "n", 1), client(remove, "n", 0)}, ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			base := valid()
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

// Whatever two configurations operators have, the edits of Diff lead from one to the other.
func TestApplyUndoesDiff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) *cardamomyokev1.Configuration {
			c := valid()
			for i, share := range rapid.SliceOfN(rapid.Uint32Range(1, 3), 0, 5).Draw(t, label) {
				c.Clients = append(c.Clients, &cardamomyokev1.ClientAccount{Name: string(rune('d' + i)), Share: share})
			}
			return c
		}
		base, wanted := draw("base"), draw("wanted")
		edits := config.Diff(base, wanted)
		got := base
		if len(edits) > 0 {
			var err error
			if got, err = config.Apply(base, edits, 1); err != nil {
				t.Fatal(err)
			}
		}
		if left := config.Diff(got, wanted); len(left) != 0 || len(config.Diff(wanted, got)) != 0 {
			t.Fatalf("left over: %v", left)
		}
	})
}

func TestCheckMeta(t *testing.T) {
	good := &cardamomyokev1.ChangeMeta{Operator: "o", Reason: "r", OperationId: "a-1"}
	if err := config.CheckMeta(good); err != nil {
		t.Fatal(err)
	}
	bad := map[string]func(*cardamomyokev1.ChangeMeta){
		"meta.operator":     func(m *cardamomyokev1.ChangeMeta) { m.Operator = "" },
		"meta.reason":       func(m *cardamomyokev1.ChangeMeta) { m.Reason = "" },
		"meta.operation_id": func(m *cardamomyokev1.ChangeMeta) { m.OperationId = "a/b" },
	}
	for field, spoil := range bad {
		m := proto.Clone(good).(*cardamomyokev1.ChangeMeta)
		spoil(m)
		var fe *config.FieldError
		if err := config.CheckMeta(m); !errors.As(err, &fe) || fe.Field != field {
			t.Errorf("got %v, want %s", err, field)
		}
	}
}
