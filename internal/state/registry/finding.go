package registry

import "github.com/cardamomyoke/cardamomyoke/internal/base/ids"

// Kind classifies a finding about an entry.
type Kind string

const (
	// Unreadable entries cannot be decoded to an upstream.
	Unreadable Kind = "entry names no upstream"
	// Late entries belong to an incarnation that has ended; the entry of the newer one stays in force.
	Late Kind = "entry of an ended life"
	// Restarted upstreams have a new incarnation under the same ID.
	Restarted Kind = "upstream restarted"
)

// Finding is an observation about an entry, to be logged. Each version of an entry is reported once.
type Finding struct {
	Kind    Kind
	Key     string
	Version uint64
	// Err is the reason why the entry is Unreadable.
	Err error
	// Incarnation is the incarnation that the entry names, and Previous the one before it. They are set for Late and
	// Restarted entries.
	Incarnation, Previous ids.UpstreamIncarnation
}
