package routing

import "sync/atomic"

// Estimate is the size of one request as known when it is sent.
type Estimate struct {
	// First says that the request is of the first class.
	First        bool
	PromptTokens int
	// CachedTokens is the part of PromptTokens that the upstream is believed to have cached.
	CachedTokens int
	OutputTokens int
}

// Work counts what one entry has in flight at one upstream. All methods are safe for concurrent use. The entry keeps
// one for each upstream for as long as it knows it, whatever pickers come and go.
type Work struct {
	waiting, prompt           atomic.Int64
	firstWaiting, firstPrompt atomic.Int64
	running, output           atomic.Int64
}

// Counts returns the present counts. They are read one by one, so they may be a request apart from each other.
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

// wait adds a number of waiting requests and their prompt tokens; both may be negative.
func (w *Work) wait(first bool, requests, tokens int64) {
	w.waiting.Add(requests)
	w.prompt.Add(tokens)
	if first {
		w.firstWaiting.Add(requests)
		w.firstPrompt.Add(tokens)
	}
}

// Start counts a request that is about to be sent. The Flight must be ended, whatever becomes of the request.
func (w *Work) Start(e Estimate) *Flight {
	f := &Flight{
		work: w, first: e.First,
		prompt: int64(max(0, e.PromptTokens-e.CachedTokens)), output: int64(max(0, e.OutputTokens)),
	}
	w.wait(f.first, 1, f.prompt)
	w.output.Add(f.output)
	return f
}

// Flight is one request in flight. It belongs to the goroutine that owns the attempt.
type Flight struct {
	work           *Work
	first          bool
	prompt, output int64
	started, ended bool
}

// Token records n further tokens of the answer; the first call also records that the prompt has been computed.
func (f *Flight) Token(n int) {
	if f.ended {
		return
	}
	if !f.started {
		f.started = true
		f.work.wait(f.first, -1, -f.prompt)
		f.work.running.Add(1)
	}
	done := min(f.output, int64(n))
	f.output -= done
	f.work.output.Add(-done)
}

// End records that the attempt is over. Further calls do nothing.
func (f *Flight) End() {
	if f.ended {
		return
	}
	f.ended = true
	if f.started {
		f.work.running.Add(-1)
	} else {
		f.work.wait(f.first, -1, -f.prompt)
	}
	f.work.output.Add(-f.output)
}
