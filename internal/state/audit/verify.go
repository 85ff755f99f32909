package audit

import (
	"bytes"
	"crypto/sha256"
	"fmt"
)

// Fault is an inconsistency that a Verifier found.
type Fault struct {
	Key     string
	Problem string
}

// Error implements error.
func (f *Fault) Error() string { return fmt.Sprintf("audit: %s: %s", f.Key, f.Problem) }

// Verifier checks the full audit. Call Add with every row, heads included, sorted by key, then call Faults.
type Verifier struct {
	heads      map[Chain]Head
	ends       map[Chain]Head // computed from the rows added so far
	registered map[Chain]uint64
	rows       int
	headsHash  []byte
	faults     []*Fault
}

// NewVerifier returns a Verifier without rows.
func NewVerifier() *Verifier {
	return &Verifier{heads: map[Chain]Head{}, ends: map[Chain]Head{}, registered: map[Chain]uint64{}}
}

// Add checks the next row.
func (v *Verifier) Add(r *Row) {
	if IsHead(r) {
		v.addHead(r)
		return
	}
	chain, seq, err := parseKey(r.GetKey())
	if err != nil {
		v.addFault(r.GetKey(), "is no key of the audit")
		return
	}
	v.rows++
	v.checkRow(r, chain, seq)
	if chain == RegisterChain {
		v.registered[Chain(r.GetSubject())] = seq
	}
}

func (v *Verifier) addHead(r *Row) {
	h := HeadOf(r)
	if h.Chain.HeadKey() != r.GetKey() {
		v.addFault(r.GetKey(), "is the head of another chain, "+string(h.Chain))
		return
	}
	v.heads[h.Chain] = h
	sum := sha256.Sum256(append(append(v.headsHash, r.GetKey()...), Hash(r)...))
	v.headsHash = sum[:]
}

func (v *Verifier) checkRow(r *Row, chain Chain, seq uint64) {
	last := v.ends[chain]
	if seq != last.Seq+1 {
		v.addFault(r.GetKey(), fmt.Sprintf("rows %d to %d are missing before it", last.Seq+1, seq-1))
	} else if !bytes.Equal(r.GetPrevious(), last.Hash) {
		v.addFault(r.GetKey(), "does not carry the hash of the row before it: one of the two was changed")
	}
	v.ends[chain] = Head{chain, seq, Hash(r)}
	if h := v.heads[chain]; h.Seq == seq && !bytes.Equal(h.Hash, v.ends[chain].Hash) {
		v.addFault(r.GetKey(), "does not have the hash that the chain's head names: it was changed")
	}
}

func (v *Verifier) addFault(key, problem string) { v.faults = append(v.faults, &Fault{key, problem}) }

// Faults returns the faults of all rows added. It is empty if the audit is consistent.
func (v *Verifier) Faults() []*Fault {
	out := append([]*Fault(nil), v.faults...)
	for chain, h := range v.heads {
		if got := v.ends[chain].Seq; got < h.Seq {
			out = append(out, &Fault{chain.HeadKey(), fmt.Sprintf("rows %d to %d are missing at the end", got+1, h.Seq)})
		}
	}
	for chain := range v.ends {
		if _, ok := v.registered[chain]; !ok && chain != RegisterChain && chain != ChangesChain {
			out = append(out, &Fault{chain.RowKey(1), "the chain is not in the register"})
		}
	}
	for _, shared := range []Chain{ChangesChain, RegisterChain} {
		if _, hasHead := v.heads[shared]; !hasHead && v.ends[shared].Seq > 0 {
			out = append(out, &Fault{shared.HeadKey(), "the chain has no head"})
		}
	}
	return append(out, v.missingChains()...)
}

// missingChains returns a fault for each chain that is in the register but has no head. A chain that was registered
// after the heads were read has no head yet and is no fault: its row is after the end that the register's head names.
func (v *Verifier) missingChains() []*Fault {
	var out []*Fault
	for chain, seq := range v.registered {
		if _, ok := v.heads[chain]; !ok && seq <= v.heads[RegisterChain].Seq {
			out = append(out, &Fault{chain.HeadKey(), "the chain is in the register, but has no head"})
		}
	}
	return out
}

// Summary describes a verified audit in a form that a regulator can retain.
type Summary struct {
	Rows   int    `json:"rows"`
	Chains int    `json:"chains"`
	Heads  string `json:"heads_sha256"`
}

// Summary returns the number of rows and of heads, and one hash over all heads.
func (v *Verifier) Summary() Summary {
	return Summary{Rows: v.rows, Chains: len(v.heads), Heads: fmt.Sprintf("%x", v.headsHash)}
}
