// Package platform stands in for the platform in tests and in the demo: a transactional table, an object store, a
// lagging host list and a rate-limited weight store.
//
// A Store is used within the process, also under testing/synctest, or served over HTTP by Handler. Each part has
// switches for an outage, a delay, answers that are lost after the write took effect, and writes that take effect only
// after the caller has given up. A Client is one caller's way to the store, which can be cut on its own.
package platform
