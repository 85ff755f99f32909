package prefix_test

import (
	"sync"
	"testing"

	"pgregory.net/rapid"

	"github.com/cardamomyoke/cardamomyoke/internal/policy/routing/prefix"
)

func TestEqualHashesMeanEqualPrefixes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 8).Draw(t, "size")
		letters := rapid.SliceOfN(rapid.ByteRange('a', 'b'), 0, 40)
		a, b := letters.Draw(t, "a"), letters.Draw(t, "b")
		ha, hb := prefix.Hash(a, size), prefix.Hash(b, size)
		if len(ha) != len(a)/size {
			t.Fatalf("%d bytes gave %d blocks of %d", len(a), len(ha), size)
		}
		for i := range min(len(ha), len(hb)) {
			same := string(a[:(i+1)*size]) == string(b[:(i+1)*size])
			if same != (ha[i] == hb[i]) {
				t.Fatalf("block %d: same prefix %v, same hash %v", i, same, ha[i] == hb[i])
			}
		}
	})
}

func TestBlockSet(t *testing.T) {
	set := prefix.NewBlockSet(64)
	blocks := prefix.Hash([]byte("the same long system prompt for every request of the desk"), 8)
	set.Add(blocks...)
	if got := set.Match(blocks); got != len(blocks) {
		t.Fatalf("matched %d of %d", got, len(blocks))
	}
	set.Remove(blocks[2])
	if got := set.Match(blocks); got != 2 {
		t.Fatalf("matched %d after block 2 was evicted", got)
	}
	set.Clear()
	if got := set.Match(blocks); got != 0 {
		t.Fatalf("matched %d after clear", got)
	}
	if got := (*prefix.BlockSet)(nil).Match(blocks); got != 0 {
		t.Fatalf("a nil set matched %d", got)
	}
}

// Guards against a set that grows without bound when an engine's eviction events are lost: it must drop old blocks by
// itself.
func TestBlockSetIsBounded(t *testing.T) {
	set := prefix.NewBlockSet(64)
	present := 0
	for i := range uint64(10_000) {
		set.Add(i + 1)
	}
	for i := range uint64(10_000) {
		present += set.Match([]uint64{i + 1})
	}
	if present > 64 || present < 32 {
		t.Fatalf("a set for 64 blocks holds %d", present)
	}
}

func TestBlockSetIsSafeForConcurrentUse(t *testing.T) {
	set := prefix.NewBlockSet(64)
	var wg sync.WaitGroup
	for g := range uint64(4) {
		wg.Go(func() {
			for i := range uint64(500) {
				set.Add(g*1000 + i + 1)
				set.Match([]uint64{i + 1})
				set.Remove(g*1000 + i)
			}
		})
	}
	wg.Wait()
	set.Clear()
	set.Add(7)
	if set.Match([]uint64{7}) != 1 {
		t.Fatal("the set lost a block that was not removed")
	}
}
