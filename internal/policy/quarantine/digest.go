package quarantine

import cardamomyokev1 "github.com/cardamomyoke/cardamomyoke/internal/gen/cardamomyoke/v1"

// ToDigest converts suspects to the protobuf messages of a digest.
func ToDigest(list []Suspect) []*cardamomyokev1.Suspect {
	var out []*cardamomyokev1.Suspect
	for _, s := range list {
		out = append(out, s.Proto())
	}
	return out
}

// FromDigest returns the suspects in a digest. Invalid ones are skipped.
func FromDigest(d *cardamomyokev1.Digest) []Suspect { return fromProto(d.GetSuspects()) }

func fromProto(list []*cardamomyokev1.Suspect) []Suspect {
	var out []Suspect
	for _, in := range list {
		if s, err := SuspectFromProto(in); err == nil {
			out = append(out, s)
		}
	}
	return out
}
