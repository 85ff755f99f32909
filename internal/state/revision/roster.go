package revision

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// Member is a node that must hold each revision.
type Member = cardamomyokev1.Member

// Roster is the set of members after one log entry, with the order that defines the message tree. It is immutable and shared
// by all states between two changes of the roster.
//
// Data centres are sorted by the hash of their names, and the members of a data centre by the hash of theirs. Within a
// data centre the members form a heap: the parent of the member at position i is the member at (i-1)/fanout. The parent of
// the first member of the data centre at position k is the first member of the data centre at (k-1)/centreFanout. The
// parent of a node always precedes it in this order, so no loop can form, whichever nodes fail or replace a parent.
type Roster struct {
	members   []*Member // sorted by name
	index     map[string]int
	centres   []centre // sorted by the hash of their names
	treeOrder []int    // position of each member in the order of the message tree, by index
}

// centreFanout is the number of child data centres of a data centre. A node that sent heartbeats to all data centres would
// exceed its byte budget.
const centreFanout = 2

// centre is a data centre with the indexes of its members, sorted by the hash of their names.
type centre struct {
	name  string
	order []int
}

// NewRoster returns the roster of the given members.
func NewRoster(members []*Member) *Roster {
	r := &Roster{members: slices.Clone(members), index: make(map[string]int, len(members))}
	slices.SortFunc(r.members, func(a, b *Member) int { return cmp.Compare(a.GetName(), b.GetName()) })
	byName := map[string][]int{}
	for i, m := range r.members {
		r.index[m.GetName()] = i
		byName[m.GetDataCentre()] = append(byName[m.GetDataCentre()], i)
	}
	for name, order := range byName {
		slices.SortFunc(order, func(a, b int) int { return compareHash(r.members[a].GetName(), r.members[b].GetName()) })
		r.centres = append(r.centres, centre{name, order})
	}
	slices.SortFunc(r.centres, func(a, b centre) int { return compareHash(a.name, b.name) })
	r.treeOrder = make([]int, len(members))
	next := 0
	for _, c := range r.centres {
		for _, i := range c.order {
			r.treeOrder[i] = next
			next++
		}
	}
	return r
}

func compareHash(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}

// Members returns the members sorted by name; the slice must not be changed.
func (r *Roster) Members() []*Member { return r.members }

// Member returns the member of that name, or nil.
func (r *Roster) Member(name string) *Member {
	i, ok := r.index[name]
	if !ok {
		return nil
	}
	return r.members[i]
}

// before reports whether a precedes b in the order; false if either is no member.
func (r *Roster) before(a, b string) bool {
	i, ok := r.index[a]
	j, known := r.index[b]
	return ok && known && r.treeOrder[i] < r.treeOrder[j]
}

// position returns the position of a member in its data centre and that data centre's position, or -1, -1 if name is no
// member.
func (r *Roster) position(name string) (at, centreAt int) {
	i, ok := r.index[name]
	if !ok {
		return -1, -1
	}
	centreAt = slices.IndexFunc(r.centres, func(c centre) bool { return c.name == r.members[i].GetDataCentre() })
	return slices.Index(r.centres[centreAt].order, i), centreAt
}

// parents returns the possible parents of a member, best first: its ancestors in the heap, then the other members that
// precede it in its data centre, then the members of the data centres that are ancestors of its own, then those of other
// preceding data centres. A node that is no member may have the first member of any data centre as parent.
func (r *Roster) parents(name string, fanout int) []string {
	at, centreAt := r.position(name)
	if at < 0 {
		return r.firstMembers()
	}
	var out []string
	seen := map[int]bool{}
	add := func(i int) {
		if !seen[i] {
			seen[i] = true
			out = append(out, r.members[i].GetName())
		}
	}
	own := r.centres[centreAt].order
	for p := at; p > 0; {
		p = (p - 1) / fanout
		add(own[p])
	}
	for p := range at {
		add(own[p])
	}
	for c := centreAt; c > 0; {
		c = (c - 1) / centreFanout
		for _, i := range r.centres[c].order {
			add(i)
		}
	}
	for _, c := range r.centres[:centreAt] {
		for _, i := range c.order {
			add(i)
		}
	}
	return out
}

// firstMembers returns the first member of each data centre.
func (r *Roster) firstMembers() []string {
	var out []string
	for _, c := range r.centres {
		out = append(out, r.members[c.order[0]].GetName())
	}
	return out
}

// majorities reports whether the given members are more than half of all members, and returns the data centres in which
// they are more than half.
func (r *Roster) majorities(b bitset) (all bool, centres []string) {
	total := 0
	for _, c := range r.centres {
		n := 0
		for _, i := range c.order {
			if b.has(i) {
				n++
			}
		}
		total += n
		if 2*n > len(c.order) {
			centres = append(centres, c.name)
		}
	}
	return 2*total > len(r.members), centres
}

// excludesMajority reports whether the members in held leave too few others for a majority of all members, and for a
// majority of each data centre that contains a missing member.
func (r *Roster) excludesMajority(held bitset, missing []*Member) bool {
	total := 0
	for _, c := range r.centres {
		n := 0
		for _, i := range c.order {
			if held.has(i) {
				n++
			}
		}
		total += n
		lacks := slices.ContainsFunc(missing, func(m *Member) bool { return m.GetDataCentre() == c.name })
		if lacks && 2*n < len(c.order) {
			return false
		}
	}
	return 2*total >= len(r.members)
}

// translate converts member bits from one roster to another, by name. The result is a copy, since messages outlive the call.
func translate(b bitset, from, to *Roster) bitset {
	if from == to {
		return slices.Clone(b)
	}
	out := newBitset(len(to.members))
	for i, m := range from.members {
		if j, ok := to.index[m.GetName()]; ok && b.has(i) {
			out.set(j)
		}
	}
	return out
}

// edit returns the roster after e.
func (r *Roster) edit(e *cardamomyokev1.RosterEdit) *Roster {
	next := map[string]*Member{}
	for _, m := range r.members {
		next[m.GetName()] = m
	}
	for _, name := range slices.Concat(e.GetRemove(), e.GetSilent()) {
		delete(next, name)
	}
	for _, m := range e.GetAdd() {
		next[m.GetName()] = m
	}
	list := make([]*Member, 0, len(next))
	for _, m := range next {
		list = append(list, m)
	}
	return NewRoster(list)
}
