package registry

import (
	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	"github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// Kind classifies a finding about a registry entry.
type Kind string

const (
	// Unreadable registry entries cannot be decoded to an upstream.
	Unreadable Kind = "entry names no upstream"
	// Late registry entries belong to an incarnation that has ended; the registry entry of the newer one stays in
	// force.
	Late Kind = "entry of an ended life"
	// Restarted upstreams have a new incarnation under the same ID.
	Restarted Kind = "upstream restarted"
	// RemovedBefore registry entries had been removed before the store came back older and showed them again.
	RemovedBefore Kind = "entry was removed before the store came back older"
	// DrainingBefore upstreams had reported that they drain before the store came back older and showed them as ready.
	DrainingBefore Kind = "upstream drained before the store came back older"
	// RestartedBefore upstreams had a later incarnation before the store came back older and showed an earlier one.
	RestartedBefore Kind = "upstream restarted before the store came back older"
	// MissingSince registry entries are missing since the store came back older; their upstreams are used for a short time.
	MissingSince Kind = "entry is missing since the store came back older"
)

// Finding is an observation about a registry entry, to be logged. Each version of a registry entry is reported once.
type Finding struct {
	Kind    Kind
	Key     string
	Version platform.Position
	// Err is the reason why the registry entry is Unreadable.
	Err error
	// Incarnation is the incarnation that the registry entry names, and Previous the one before it. They are set for
	// Late and Restarted registry entries.
	Incarnation, Previous ids.UpstreamIncarnation
}
