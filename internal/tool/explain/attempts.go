package explain

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Messages of the lines that tell what became of an attempt.
const (
	messagePlaced      = "placed"
	messageRetry       = "retrying request"
	messagePlacedAgain = "placing request again"
	messageOutcome     = "request"
	messageGivenUp     = "request given up"
)

// MayHaveRun stands for the proof of an attempt that has none, UnknownProof for that of an attempt in lines without the field.
const (
	MayHaveRun   = "may have run"
	UnknownProof = "not recorded"
)

// Attempt is one attempt at a request, by the lines of the process that made it.
type Attempt struct {
	At       time.Time `json:"at"`
	Node     string    `json:"node"`
	Upstream string    `json:"upstream"`
	Address  string    `json:"address"`
	// Proof is what the process took for the proof that the attempt has not run; MayHaveRun for none, UnknownProof if the line
	// does not tell, empty for an attempt that was answered or whose end no line shows.
	Proof string `json:"proof"`
	// Response tells what the response said on which the proof rests, Result the outcome or the error.
	Response string `json:"response"`
	Result   string `json:"result"`
	// followed is set if the process went on to another attempt.
	followed bool
}

// Attempts returns the attempts at a request, sorted by time. An attempt whose placement was left out is known by its end only.
func Attempts(lines []*Line, request string) []*Attempt {
	var own []*Line
	for _, l := range lines {
		if l.Request == request {
			own = append(own, l)
		}
	}
	sortByTime(own)
	return attemptsOf(own)
}

// attemptsOf returns the attempts that the lines of one request show. Each node's attempts follow one another.
func attemptsOf(own []*Line) []*Attempt {
	var out []*Attempt
	open := map[string]*Attempt{}
	begin := func(l *Line) *Attempt {
		a := &Attempt{At: l.At, Node: l.Node, Upstream: l.Get("upstream"), Address: l.Get("address")}
		out = append(out, a)
		return a
	}
	for _, l := range own {
		switch l.Message {
		case messagePlaced:
			open[l.Node] = begin(l)
		case messageRetry, messagePlacedAgain:
			a := open[l.Node]
			if a == nil || a.Upstream != l.Get("upstream") {
				a = begin(l)
			}
			a.fail(l)
			delete(open, l.Node)
		case messageGivenUp:
			begin(l).giveUp(l)
		case messageOutcome:
			a := open[l.Node]
			if a == nil && l.Get("outcome") == "answered" && l.Get("upstream") != "" {
				a = begin(l)
			}
			if a != nil {
				a.end(l)
			}
			delete(open, l.Node)
		}
	}
	return out
}

// fail records the line after which another attempt follows.
func (a *Attempt) fail(l *Line) {
	a.Address = cmp.Or(a.Address, l.Get("address"))
	a.Proof, a.Response, a.Result = proofIn(l), responseIn(l), l.Get("err")
	a.followed = true
}

// giveUp records the line of an entry that sends the request to no other slot.
func (a *Attempt) giveUp(l *Line) {
	a.Proof, a.Response, a.Result = proofIn(l), responseIn(l), "given up "+l.Get("err")
}

// end records the request's outcome, which is that of its last attempt.
func (a *Attempt) end(l *Line) {
	a.Result = strings.TrimSpace(l.Get("outcome") + " " + l.Get("err"))
	if l.Get("outcome") == "failed" && l.Get("proof") == "" {
		a.Proof = MayHaveRun
	}
}

// proofIn returns the proof in a line about a failed attempt.
func proofIn(l *Line) string {
	switch {
	case l.Get("proof") != "":
		return l.Get("proof")
	case !l.has("proof"):
		return UnknownProof
	}
	return MayHaveRun
}

// responseIn returns what a line says of the response to an attempt.
func responseIn(l *Line) string {
	var out []string
	for _, key := range []string{"source", "status", "responder", "has_id", "first"} {
		if l.has(key) {
			out = append(out, key+"="+l.Get(key))
		}
	}
	return strings.Join(out, " ")
}

func (l *Line) has(key string) bool {
	return slices.ContainsFunc(l.Fields, func(f Field) bool { return f.Key == key })
}

// Resend is a request that may run once and that was sent more than once.
type Resend struct {
	Request  string     `json:"request"`
	Route    string     `json:"route"`
	Attempts []*Attempt `json:"attempts"`
}

// Resends returns the requests that may run once and that were sent more than once, by one process or by several, sorted by the
// time of their first attempt. Which routes may be repeated is known from the lines of retries; a request of a route that none of
// them names is listed.
func Resends(lines []*Line) []*Resend {
	repeatable := repeatableRoutes(lines)
	var out []*Resend
	for request, own := range linesByRequest(lines) {
		sortByTime(own)
		r := &Resend{Request: request, Route: routeOf(own), Attempts: attemptsOf(own)}
		if r.sentAgain() && !repeatable[r.Route] {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *Resend) int {
		return cmp.Or(a.Attempts[0].At.Compare(b.Attempts[0].At), strings.Compare(a.Request, b.Request))
	})
	return out
}

func linesByRequest(lines []*Line) map[string][]*Line {
	out := map[string][]*Line{}
	for _, l := range lines {
		if l.Request != "" {
			out[l.Request] = append(out[l.Request], l)
		}
	}
	return out
}

// repeatableRoutes returns the routes whose requests may be repeated.
func repeatableRoutes(lines []*Line) map[string]bool {
	out := map[string]bool{}
	for _, l := range lines {
		if l.Get("repeatable") == "true" {
			out[cmp.Or(l.Get("route"), l.Get("service"))] = true
		}
	}
	return out
}

// sentAgain reports whether an attempt followed another, also one that no line shows.
func (r *Resend) sentAgain() bool {
	return len(r.Attempts) > 1 || len(r.Attempts) == 1 && r.Attempts[0].followed
}

// Proofs returns the proofs of the attempts that another one followed, in order.
func (r *Resend) Proofs() []string {
	var out []string
	for _, a := range r.Attempts {
		if a.followed {
			out = append(out, a.Proof)
		}
	}
	return out
}

func routeOf(lines []*Line) string {
	for _, l := range lines {
		// Entries know services only.
		if r := cmp.Or(l.Get("route"), l.Get("service")); r != "" {
			return r
		}
	}
	return ""
}
