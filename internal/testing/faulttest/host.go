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

func settingsDuration(d time.Duration) settings.Duration { return settings.Duration(d) }

func (e *EntryHost) start() error {
	set := e.set
	started, err := entry.Start(&set, e.deps)
	e.entry = started
	return err
}

// kill stops the entry as a crash would and reports whether it was running.
func (e *EntryHost) kill() bool {
	if e.entry == nil {
		return false
	}
	e.entry.Kill()
	e.entry = nil
	return true
}

// shutDown stops the entry gracefully and reports whether it was running.
func (e *EntryHost) shutDown() bool {
	if e.entry == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), modelDeadline*time.Millisecond)
	defer cancel()
	_ = e.entry.Shutdown(ctx) // A shutdown that exceeds its deadline breaks connections, which the checks of the calls detect.
	e.entry = nil
	return true
}

// setLinks changes the mode of all links of the entry.
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

// killSlot stops the slot as a crash would and reports whether it was running. The slot's goroutines stay alive in this
// process, so its connections to the upstream are broken as well.
func (h *Host) killSlot() bool {
	if h.slot == nil {
		return false
	}
	h.slot.Kill()
	h.slot = nil
	h.upstream.Set(Disconnect)
	return true
}

func (h *Host) restartSlot() error {
	h.upstream.Set(Forward)
	return h.startSlot()
}

// shutDownSlot stops the slot gracefully and reports whether it was running.
func (h *Host) shutDownSlot() bool {
	if h.slot == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), modelDeadline*time.Millisecond)
	defer cancel()
	_ = h.slot.Shutdown(ctx) // A shutdown that exceeds its deadline breaks connections, which the checks of the calls detect.
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

// killUpstream stops the engine or plain service as a crash would and reports whether it was running. Connections to it
// are refused from then on.
func (c *Cluster) killUpstream(h *Host) bool {
	h.upstream.Close()
	switch {
	case h.engine != nil:
		h.engine.Stop()
		h.engine = nil
	case h.plain != nil:
		h.plain.Stop()
		c.mu.Lock()
		c.stoppedServices = append(c.stoppedServices, h.plain)
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

// setMode changes the mode of all traffic of the host: to its upstream and to the entries.
func (h *Host) setMode(m Mode) {
	h.upstream.Set(m)
	for _, l := range h.links {
		l.Set(m)
	}
}
