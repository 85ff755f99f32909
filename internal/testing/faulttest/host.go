package faulttest

import (
	"context"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/settings"
	"github.com/cardamomyoke/cardamomyoke/internal/node/entry"
	"github.com/cardamomyoke/cardamomyoke/internal/node/slot"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/standin/engine"
	"github.com/cardamomyoke/cardamomyoke/internal/testing/standin/plain"
)

func setting(d time.Duration) settings.Duration { return settings.Duration(d) }

func (e *EntryHost) start() error {
	set := e.set
	started, err := entry.Start(&set, e.deps)
	e.entry = started
	return err
}

// kill ends the entry as a crash would; it reports whether it was up.
func (e *EntryHost) kill() bool {
	if e.entry == nil {
		return false
	}
	e.entry.Kill()
	e.entry = nil
	return true
}

// leave ends the entry in order; it reports whether it was up.
func (e *EntryHost) leave() bool {
	if e.entry == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), modelDeadline*time.Millisecond)
	defer cancel()
	_ = e.entry.Shutdown(ctx) // If it does not end in time it is cut off, which the callers' checks show.
	e.entry = nil
	return true
}

// setLinks changes the mode of all of the entry's links.
func (e *EntryHost) setLinks(m Mode) {
	for _, l := range e.links {
		l.Set(m)
	}
}

func (h *Host) startSlot() error {
	set := h.set
	started, err := slot.Start(&set, h.deps)
	h.slot = started
	return err
}

// killSlot ends the slot as a crash would. Its goroutines live on in this process, so that its connections to the
// upstream are cut as well. It reports whether the slot was up.
func (h *Host) killSlot() bool {
	if h.slot == nil {
		return false
	}
	h.slot.Kill()
	h.slot = nil
	h.upstream.Set(Cut)
	return true
}

func (h *Host) restartSlot() error {
	h.upstream.Set(Pass)
	return h.startSlot()
}

// leave ends the slot in order; it reports whether it was up.
func (h *Host) leave() bool {
	if h.slot == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), modelDeadline*time.Millisecond)
	defer cancel()
	_ = h.slot.Shutdown(ctx) // If it does not end in time it is cut off, which the callers' checks show.
	h.slot = nil
	return true
}

func (h *Host) startUpstream() error {
	var err error
	if h.set.Upstream.Kind == slot.KindModel {
		h.engine, err = engine.Start(h.address, engine.Options{Batch: engineBatch, Step: engineStep, CacheBlocks: 64})
		return err
	}
	h.plain, err = plain.Start(h.address, plainDelay)
	return err
}

// killUpstream ends the engine or plain service; dialling it is refused from then on. It reports whether it was up.
func (c *Cluster) killUpstream(h *Host) bool {
	h.upstream.Close()
	switch {
	case h.engine != nil:
		h.engine.Stop()
		h.engine = nil
	case h.plain != nil:
		h.plain.Stop()
		c.mu.Lock()
		c.past = append(c.past, h.plain)
		c.mu.Unlock()
		h.plain = nil
	default:
		return false
	}
	return true
}

func (h *Host) restartUpstream() error {
	if err := h.startUpstream(); err != nil {
		return err
	}
	return h.upstream.Open()
}

// setHost changes the mode of everything that goes in or out of a host.
func (h *Host) setHost(m Mode) {
	h.upstream.Set(m)
	for _, l := range h.links {
		l.Set(m)
	}
}
