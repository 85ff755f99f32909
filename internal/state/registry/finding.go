package registry

import "github.com/cardamomyoke/cardamomyoke/internal/base/ids"

// Kind says what was found about an entry.
type Kind string

const (
	// Unreadable entries name no upstream.
	Unreadable Kind = "entry names no upstream"
	// Late entries are of a life that has ended; the newer one's stays in force.
	Late Kind = "entry of an ended life"
	// Restarted upstreams have a new life under their id.
	Restarted Kind = "upstream restarted"
)

// Finding is something about an entry that belongs in the log. Each version of an entry is reported once.
type Finding struct {
	Kind    Kind
	Key     string
	Version uint64
	// Err says why the entry is Unreadable.
	Err error
	// Incarnation and Previous are the life that the entry names and the one before it, of Late and Restarted entries.
	Incarnation, Previous ids.UpstreamIncarnation
}
