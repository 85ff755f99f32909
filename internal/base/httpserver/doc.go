// Package httpserver serves HTTP/1.1 on gnet event loops and parses requests with fasthttp.
//
// An event loop only collects bytes and cuts them into requests; each request then runs on a goroutine of its own, so
// that a handler may wait. A connection runs one request at a time. The handler's context ends when the caller goes
// away, which is how a cancel travels on towards the engine. Entry, slot and the engine stand-in share this server.
//
// What a caller can do wrong ends in a typed answer and never holds a connection or the process: see Limits.
package httpserver
