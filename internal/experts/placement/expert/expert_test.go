package expert_test

import (
	"errors"
	"flag"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/cardamomyoke/cardamomyoke/internal/experts/placement/expert"
)

// TestMain fixes the seed of the random tests so that their results are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func drawMap(t *rapid.T, label string, shape expert.Shape) *expert.Map {
	replicas := make([][]expert.Replica, shape.Cells())
	for i := range replicas {
		ranks := rapid.SliceOfNDistinct(rapid.IntRange(0, shape.Ranks-1), 1, shape.Ranks, rapid.ID[int]).Draw(t, label)
		left := expert.ShareUnit
		for j, r := range ranks {
			share := left
			if j < len(ranks)-1 {
				share = rapid.IntRange(0, left).Draw(t, "share")
			}
			left -= share
			replicas[i] = append(replicas[i], expert.Replica{Rank: r, Share: share})
		}
	}
	m, err := expert.New(rapid.Uint64().Draw(t, "version"), shape, replicas)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func TestMovesAndEncodingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shape := expert.Shape{Ranks: rapid.IntRange(1, 4).Draw(t, "ranks"), Experts: 3, Layers: 2}
		a, b := drawMap(t, "a", shape), drawMap(t, "b", shape)
		got, err := a.Apply(b.Version(), expert.Diff(a, b))
		if err != nil || !got.Equal(b) || got.Hash() != b.Hash() {
			t.Fatalf("the moves do not produce the target map (%v)", err)
		}
		if a.Version() != b.Version() && a.Hash() == b.Hash() {
			t.Fatal("two versions share a hash")
		}
		data, err := b.MarshalBinary()
		if err != nil {
			t.Fatal(err)
		}
		again, err := got.MarshalBinary()
		if err != nil || string(again) != string(data) {
			t.Fatalf("equal maps have different bytes (%v)", err)
		}
		read, err := expert.Decode(data)
		if err != nil || read.Hash() != b.Hash() {
			t.Fatalf("decoding the encoded map gives another map (%v)", err)
		}
	})
}

func TestNewRejectsInvalidMaps(t *testing.T) {
	shape := expert.Shape{Ranks: 2, Experts: 1, Layers: 1}
	full := expert.ShareUnit
	tests := map[string][][]expert.Replica{
		"no cells":       {},
		"no replica":     {{}},
		"share sum":      {{{Rank: 0, Share: full - 1}}},
		"negative share": {{{Rank: 0, Share: full + 1}, {Rank: 1, Share: -1}}},
		"rank twice":     {{{Rank: 0, Share: full / 2}, {Rank: 0, Share: full / 2}}},
		"unknown rank":   {{{Rank: 2, Share: full}}},
	}
	for name, replicas := range tests {
		var typed *expert.InvalidError
		if _, err := expert.New(1, shape, replicas); !errors.As(err, &typed) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

func TestApplyRejectsInvalidMoves(t *testing.T) {
	shape := expert.Shape{Ranks: 2, Experts: 1, Layers: 1}
	m, err := expert.New(1, shape, [][]expert.Replica{{{Rank: 0, Share: expert.ShareUnit}}})
	if err != nil {
		t.Fatal(err)
	}
	for _, mv := range []expert.Move{
		{Op: expert.OpLoad, Rank: 0}, {Op: expert.OpDrop, Rank: 1}, {Op: expert.OpShare, Rank: 1},
		{Op: "copy"}, {Op: expert.OpLoad, Layer: 1}, {Op: expert.OpLoad, Expert: -1},
	} {
		var typed *expert.MoveError
		if _, err := m.Apply(2, []expert.Move{mv}); !errors.As(err, &typed) {
			t.Errorf("%+v: got %v", mv, err)
		}
	}
	want := []expert.Replica{{Rank: 0, Share: expert.ShareUnit}}
	if diff := cmp.Diff(want, m.At(0, 0)); diff != "" {
		t.Errorf("the map was changed: %s", diff)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{8, 1, 16, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := expert.Decode(data)
		var invalid *expert.InvalidError
		var encoding *expert.EncodingError
		if err != nil && !errors.As(err, &invalid) && !errors.As(err, &encoding) {
			t.Fatalf("untyped error %v", err)
		}
		if err == nil && len(m.Replicas()) != m.Shape().Cells() {
			t.Fatal("a map with missing experts was decoded")
		}
	})
}
