package audit

import (
	"google.golang.org/protobuf/proto"
)

// Head is the end of a chain: its length and the hash of its last row.
type Head struct {
	Chain Chain
	Seq   uint64
	Hash  []byte
}

// Link gives rows their keys and the hashes of their predecessors. It returns copies and the head after them.
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

// Row is the head as it is kept in the table.
func (h Head) Row() *Row {
	return &Row{Key: h.Chain.HeadKey(), Kind: KindHead, Subject: string(h.Chain), Revision: h.Seq, Previous: h.Hash}
}

// HeadOf reads what Row wrote.
func HeadOf(r *Row) Head {
	return Head{Chain: Chain(r.GetSubject()), Seq: r.GetRevision(), Hash: r.GetPrevious()}
}
