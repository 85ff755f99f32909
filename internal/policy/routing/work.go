package routing

import "sync/atomic"

// Estimate is the estimated size of a request at the time it is sent.
type Estimate struct {
	// FirstClass is set for requests of the first class.
	FirstClass   bool
	PromptTokens int
	// CachedTokens is the number of PromptTokens that the upstream has probably cached.
	CachedTokens int
	OutputTokens int
}

// Work counts what one entry has in flight at one upstream. It is safe for concurrent use. The entry keeps it across
// pickers for as long as it has state for the upstream.
type Work struct {
	waiting, prompt           atomic.Int64
	firstWaiting, firstPrompt atomic.Int64
	running, output           atomic.Int64
}

// Counts returns the current counts. They are read one after the other, so requests in between may make them
// inconsistent by a few.
func (w *Work) Counts() Counts {
	return Counts{
		Waiting:           int(w.waiting.Load()),
		Running:           int(w.running.Load()),
		PromptTokens:      int(w.prompt.Load()),
		FirstWaiting:      int(w.firstWaiting.Load()),
		FirstPromptTokens: int(w.firstPrompt.Load()),
		OutputTokens:      int(w.output.Load()),
	}
}

// addWaiting adds waiting requests and their prompt tokens; both numbers may be negative.
func (w *Work) addWaiting(first bool, requests, tokens int64) {
	w.waiting.Add(requests)
	w.prompt.Add(tokens)
	if first {
		w.firstWaiting.Add(requests)
		w.firstPrompt.Add(tokens)
	}
}

// Start counts a request that is about to be sent. The caller must call End on the Flight in every case.
func (w *Work) Start(e Estimate) *Flight {
	f := &Flight{
		work: w, first: e.FirstClass,
		prompt: int64(max(0, e.PromptTokens-e.CachedTokens)), output: int64(max(0, e.OutputTokens)),
	}
	w.addWaiting(f.first, 1, f.prompt)
	w.output.Add(f.output)
	return f
}

// Flight is one request in flight. It is not safe for concurrent use; the goroutine of the attempt owns it.
type Flight struct {
	work           *Work
	first          bool
	prompt, output int64
	started, ended bool
}

// Token records that the upstream generated n more tokens. The first call also records that the prefill is done.
func (f *Flight) Token(n int) {
	if f.ended {
		return
	}
	if !f.started {
		f.started = true
		f.work.addWaiting(f.first, -1, -f.prompt)
		f.work.running.Add(1)
	}
	done := min(f.output, int64(n))
	f.output -= done
	f.work.output.Add(-done)
}

// End records the end of the attempt. Further calls do nothing.
func (f *Flight) End() {
	if f.ended {
		return
	}
	f.ended = true
	if f.started {
		f.work.running.Add(-1)
	} else {
		f.work.addWaiting(f.first, -1, -f.prompt)
	}
	f.work.output.Add(-f.output)
}
