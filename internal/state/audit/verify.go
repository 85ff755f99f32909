package audit

import (
	"bytes"
	"crypto/sha256"
	"fmt"
)

// Fault is one finding against the audit.
type Fault struct {
	Key  string
	What string
}

// Error implements error.
func (f *Fault) Error() string { return fmt.Sprintf("audit: %s: %s", f.Key, f.What) }

// Verifier checks the whole audit; feed it every row, heads included, in key order, then ask Faults.
type Verifier struct {
	heads   map[Chain]Head
	chains  map[Chain]Head // what the rows add up to
	started map[Chain]uint64
	rows    int
	order   []byte
	faults  []*Fault
}

// NewVerifier returns a verifier that has seen nothing.
func NewVerifier() *Verifier {
	return &Verifier{heads: map[Chain]Head{}, chains: map[Chain]Head{}, started: map[Chain]uint64{}}
}

// Add takes the next row in.
func (v *Verifier) Add(r *Row) {
	if IsHead(r) {
		v.addHead(r)
		return
	}
	chain, seq, err := parseKey(r.GetKey())
	if err != nil {
		v.fault(r.GetKey(), "is no key of the audit")
		return
	}
	v.rows++
	v.check(r, chain, seq)
	if chain == RegisterChain {
		v.started[Chain(r.GetSubject())] = seq
	}
}

func (v *Verifier) addHead(r *Row) {
	h := HeadOf(r)
	if h.Chain.HeadKey() != r.GetKey() {
		v.fault(r.GetKey(), "is the head of another chain, "+string(h.Chain))
		return
	}
	v.heads[h.Chain] = h
	sum := sha256.Sum256(append(append(v.order, r.GetKey()...), Hash(r)...))
	v.order = sum[:]
}

func (v *Verifier) check(r *Row, chain Chain, seq uint64) {
	last := v.chains[chain]
	if seq != last.Seq+1 {
		v.fault(r.GetKey(), fmt.Sprintf("rows %d to %d are missing before it", last.Seq+1, seq-1))
	} else if !bytes.Equal(r.GetPrevious(), last.Hash) {
		v.fault(r.GetKey(), "does not carry the hash of the row before it: one of the two was changed")
	}
	v.chains[chain] = Head{chain, seq, Hash(r)}
	if h := v.heads[chain]; h.Seq == seq && !bytes.Equal(h.Hash, v.chains[chain].Hash) {
		v.fault(r.GetKey(), "does not have the hash that the chain's head names: it was changed")
	}
}

func (v *Verifier) fault(key, what string) { v.faults = append(v.faults, &Fault{key, what}) }

// Faults returns what is wrong with all that was added; empty if nothing is.
func (v *Verifier) Faults() []*Fault {
	out := append([]*Fault(nil), v.faults...)
	for chain, h := range v.heads {
		if got := v.chains[chain].Seq; got < h.Seq {
			out = append(out, &Fault{chain.HeadKey(), fmt.Sprintf("rows %d to %d are missing at the end", got+1, h.Seq)})
		}
	}
	for chain := range v.chains {
		if _, ok := v.started[chain]; !ok && chain != RegisterChain && chain != ChangesChain {
			out = append(out, &Fault{chain.RowKey(1), "the chain is not in the register"})
		}
	}
	for _, shared := range []Chain{ChangesChain, RegisterChain} {
		if _, hasHead := v.heads[shared]; !hasHead && v.chains[shared].Seq > 0 {
			out = append(out, &Fault{shared.HeadKey(), "the chain has no head"})
		}
	}
	return append(out, v.missingChains()...)
}

// missingChains finds chains that the register names and that have no head. A chain that was registered after the
// heads were read has none yet: it stands after the end that the register's head named.
func (v *Verifier) missingChains() []*Fault {
	var out []*Fault
	for chain, seq := range v.started {
		if _, ok := v.heads[chain]; !ok && seq <= v.heads[RegisterChain].Seq {
			out = append(out, &Fault{chain.HeadKey(), "the chain is in the register, but has no head"})
		}
	}
	return out
}

// Summary is what a regulator keeps of an audit that was verified.
type Summary struct {
	Rows   int    `json:"rows"`
	Chains int    `json:"chains"`
	Heads  string `json:"heads_sha256"`
}

// Summary returns the sizes, and one hash over all heads.
func (v *Verifier) Summary() Summary {
	return Summary{Rows: v.rows, Chains: len(v.heads), Heads: fmt.Sprintf("%x", v.order)}
}
