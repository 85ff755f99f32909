// Package blame finds the part of prompts under which upstreams crash.
//
// Requests that share such a part are no two alike, so nothing that is counted by request adds up. Each crash is held against
// the parts of the requests that had not begun to be answered at the upstream. An answer that goes on under a part speaks for
// it. A part that is present at several crashes, and under which no answer is known, is refused; a crash that a refused part
// explains is held against no other.
//
// What is known of a part can be merged in any order, so that gateways agree without a protocol. Ledger is pure: events and
// the time are passed in. Memory remembers which parts were answered.
package blame
