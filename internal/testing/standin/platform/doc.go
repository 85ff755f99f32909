// Package platform is a stand-in for the platform in tests and in the demo: a transactional table, an object store, a
// host list that lags, and a rate-limited weight store.
//
// A Store is used within the process, including under testing/synctest, or served over HTTP by Handler. Each part has
// switches for an outage, a delay, responses that are lost after the write took effect, and writes that take effect after
// their response was lost. A Client is one node's connection to the store, which can be disconnected alone.
package platform
