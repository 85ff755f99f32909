package audit

import (
	"google.golang.org/protobuf/proto"
)

// Head describes the end of a chain: its length and the hash of its last row.
type Head struct {
	Chain Chain
	Seq   uint64
	Hash  []byte
}

// Link appends rows to the chain. It returns copies of the rows with their keys and the hashes of their predecessors,
// and the head after the last of them.
func (h Head) Link(rows []*Row) ([]*Row, Head) {
	out := make([]*Row, 0, len(rows))
	for _, r := range rows {
		next := proto.Clone(r).(*Row)
		h.Seq++
		next.Key = h.Chain.RowKey(h.Seq)
		next.Previous = h.Hash
		h.Hash = Hash(next)
		out = append(out, next)
	}
	return out, h
}

// Row returns the head as the row that is stored in the table.
func (h Head) Row() *Row {
	return &Row{Key: h.Chain.HeadKey(), Kind: KindHead, Subject: string(h.Chain), Revision: h.Seq, Previous: h.Hash}
}

// HeadOf decodes a head from the row that Row returned.
func HeadOf(r *Row) Head {
	return Head{Chain: Chain(r.GetSubject()), Seq: r.GetRevision(), Hash: r.GetPrevious()}
}
