package digest

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

const (
	// MaxParts is the maximum number of parts of one digest.
	MaxParts = 64
	// partBytes is the maximum size of the part number and of the headers of the column lists.
	partBytes = 32
	// workBytes, rumorBytes, limitBytes and firstBytes are the maximum sizes of one row of work, one rumor, one limit and the
	// first attempts of one service.
	workBytes  = 4 + 5 + 5
	rumorBytes = 4 + 10 + 1
	limitBytes = 4 + 4 + 5
	firstBytes = 4 + 5
	// tagBytes is the maximum size of the tag and the length of one message in a list.
	tagBytes = 4
)

// Encode returns the datagrams in which d is sent: one, or several parts if it does not fit one. Each part names the
// sender and its state. Errors: *TooLargeError if the fields outside the lists and one row do not fit, or those of the
// encoder.
func Encode(d *cardamomyokev1.Digest) ([][]byte, error) {
	parts := Split(d)
	out := make([][]byte, 0, len(parts))
	for _, part := range parts {
		data, err := proto.Marshal(part)
		if err != nil {
			return nil, fmt.Errorf("encode digest: %w", err)
		}
		if len(data) > MaxBytes {
			return nil, &TooLargeError{len(data)}
		}
		out = append(out, data)
	}
	return out, nil
}

// Split splits a digest into parts of at most MaxBytes each. The fields outside the lists are in each part; Join merges
// the lists again. If not all rows fit into MaxParts parts, those that rowsOf returns last are
// dropped.
func Split(d *cardamomyokev1.Digest) []*cardamomyokev1.Digest {
	if proto.Size(d) <= MaxBytes {
		return []*cardamomyokev1.Digest{d}
	}
	header := headerOf(d)
	capacity := MaxBytes - partBytes - proto.Size(header)
	var parts []*cardamomyokev1.Digest
	free := 0
	for _, r := range rowsOf(d) {
		if r.bytes > free {
			if len(parts) == MaxParts {
				break
			}
			parts = append(parts, proto.CloneOf(header))
			free = capacity
		}
		r.add(parts[len(parts)-1])
		free -= r.bytes
	}
	for i, p := range parts {
		p.Part = &cardamomyokev1.Part{Index: uint32(i), Count: uint32(len(parts))}
	}
	return parts
}

// Join merges two parts of one digest into a digest with the lists of both.
func Join(a, b *cardamomyokev1.Digest) *cardamomyokev1.Digest {
	both := proto.CloneOf(a)
	proto.Merge(both, b)
	return both
}

func headerOf(d *cardamomyokev1.Digest) *cardamomyokev1.Digest {
	header := proto.CloneOf(d)
	header.News, header.Peers, header.Slow, header.Suspects, header.Rumors, header.Work = nil, nil, nil, nil, nil, nil
	header.Limits, header.FirstAttempts, header.Parts = nil, nil, nil
	return header
}

// row is one entry in a list of a digest.
type row struct {
	bytes int
	add   func(*cardamomyokev1.Digest)
}

// rowsOf returns the entries of all lists, the most urgent lists first.
func rowsOf(d *cardamomyokev1.Digest) []row {
	var rows []row
	message := func(m proto.Message, add func(*cardamomyokev1.Digest)) {
		rows = append(rows, row{tagBytes + proto.Size(m), add})
	}
	for _, n := range d.GetNews() {
		message(n, func(p *cardamomyokev1.Digest) { p.News = append(p.News, n) })
	}
	for i := range d.GetRumors().GetLives() {
		rows = append(rows, row{rumorBytes, func(p *cardamomyokev1.Digest) { addRumor(p, d.GetRumors(), i) }})
	}
	for i := range d.GetLimits().GetUpstreams() {
		rows = append(rows, row{limitBytes, func(p *cardamomyokev1.Digest) { addLimit(p, d.GetLimits(), i) }})
	}
	for i := range d.GetFirstAttempts().GetServices() {
		rows = append(rows, row{firstBytes, func(p *cardamomyokev1.Digest) { addFirstAttempts(p, d.GetFirstAttempts(), i) }})
	}
	for _, s := range d.GetParts() {
		message(s, func(p *cardamomyokev1.Digest) { p.Parts = append(p.Parts, s) })
	}
	for _, s := range d.GetSuspects() {
		message(s, func(p *cardamomyokev1.Digest) { p.Suspects = append(p.Suspects, s) })
	}
	for _, s := range d.GetSlow() {
		message(s, func(p *cardamomyokev1.Digest) { p.Slow = append(p.Slow, s) })
	}
	for _, a := range d.GetPeers() {
		rows = append(rows, row{tagBytes + len(a), func(p *cardamomyokev1.Digest) { p.Peers = append(p.Peers, a) }})
	}
	for i := range d.GetWork().GetUpstreams() {
		rows = append(rows, row{workBytes, func(p *cardamomyokev1.Digest) { addWork(p, d.GetWork(), i) }})
	}
	return rows
}

func addRumor(to *cardamomyokev1.Digest, from *cardamomyokev1.Rumors, i int) {
	if to.Rumors == nil {
		to.Rumors = &cardamomyokev1.Rumors{}
	}
	to.Rumors.Lives = append(to.Rumors.Lives, from.GetLives()[i])
	to.Rumors.Sequences = append(to.Rumors.Sequences, from.GetSequences()[i])
	to.Rumors.Ended = append(to.Rumors.Ended, from.GetEnded()[i])
}

func addLimit(to *cardamomyokev1.Digest, from *cardamomyokev1.LimitColumns, i int) {
	if to.Limits == nil {
		to.Limits = &cardamomyokev1.LimitColumns{}
	}
	to.Limits.Upstreams = append(to.Limits.Upstreams, from.GetUpstreams()[i])
	to.Limits.PerSecond = append(to.Limits.PerSecond, from.GetPerSecond()[i])
	to.Limits.AgeMs = append(to.Limits.AgeMs, from.GetAgeMs()[i])
}

func addFirstAttempts(to *cardamomyokev1.Digest, from *cardamomyokev1.FirstAttemptColumns, i int) {
	if to.FirstAttempts == nil {
		to.FirstAttempts = &cardamomyokev1.FirstAttemptColumns{}
	}
	to.FirstAttempts.Services = append(to.FirstAttempts.Services, from.GetServices()[i])
	to.FirstAttempts.Requests = append(to.FirstAttempts.Requests, from.GetRequests()[i])
}

func addWork(to *cardamomyokev1.Digest, from *cardamomyokev1.WorkColumns, i int) {
	if to.Work == nil {
		to.Work = &cardamomyokev1.WorkColumns{}
	}
	to.Work.Upstreams = append(to.Work.Upstreams, from.GetUpstreams()[i])
	to.Work.Requests = append(to.Work.Requests, from.GetRequests()[i])
	to.Work.PromptTokens = append(to.Work.PromptTokens, from.GetPromptTokens()[i])
}

// checkColumns returns an error if the columns of a list differ in length or if the part number is invalid.
func checkColumns(d *cardamomyokev1.Digest) error {
	w, r, l, part := d.GetWork(), d.GetRumors(), d.GetLimits(), d.GetPart()
	rows := len(w.GetUpstreams())
	if len(w.GetRequests()) != rows || len(w.GetPromptTokens()) != rows {
		return &FieldError{"complete columns of work"}
	}
	rows = len(r.GetLives())
	if len(r.GetSequences()) != rows || len(r.GetEnded()) != rows {
		return &FieldError{"complete columns of rumors"}
	}
	rows = len(l.GetUpstreams())
	if len(l.GetPerSecond()) != rows || len(l.GetAgeMs()) != rows {
		return &FieldError{"complete columns of limits"}
	}
	if f := d.GetFirstAttempts(); len(f.GetServices()) != len(f.GetRequests()) {
		return &FieldError{"complete columns of first attempts"}
	}
	if part != nil && (part.GetIndex() >= part.GetCount() || part.GetCount() > MaxParts) {
		return &FieldError{"a valid part number"}
	}
	return nil
}
