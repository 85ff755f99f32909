package quarantine

import (
	"slices"

	"google.golang.org/protobuf/proto"

	cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"
)

// EncodeRow returns the value of the row in which gateways keep suspects. Equal suspects have equal values.
func EncodeRow(list []Suspect) ([]byte, error) {
	if len(list) == 0 {
		return nil, nil
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(&cardamomyokev1.StoredSuspects{Suspects: ToDigest(list)})
}

// DecodeRow decodes the value of the row; an empty value has no suspects. Errors: *RowError.
func DecodeRow(key string, value []byte) ([]Suspect, error) {
	row := &cardamomyokev1.StoredSuspects{}
	if err := proto.Unmarshal(value, row); err != nil {
		return nil, &RowError{key, err}
	}
	return fromProto(row.GetSuspects()), nil
}

// Covers reports whether list has all requests of others.
func Covers(list, others []Suspect) bool {
	for _, o := range others {
		if !slices.ContainsFunc(list, func(s Suspect) bool { return s.Fingerprint == o.Fingerprint }) {
			return false
		}
	}
	return true
}
