// Package httpserver serves HTTP/1.1 on gnet event loops and parses requests with fasthttp.
//
// An event loop only buffers bytes and parses them into requests. Each request then runs on its own goroutine, so a
// handler may block. A connection runs one request at a time. The handler's context is cancelled when the caller
// disconnects, which propagates the cancellation towards the engine. The entry, the gateway, the slot and the stand-ins
// share this server.
//
// Invalid input and slow callers end in a typed response or a closed connection, so that no caller can occupy a
// connection or the process indefinitely; see Limits.
package httpserver
