// Package fairshare compares client accounts by the work that all gateways have in flight for them.
//
// Under overload, an account that sends far more than the others would otherwise get room in proportion to what it sends. Its
// requests go behind those of accounts with less work in flight for their weight, and leave room that the others wait for.
package fairshare
