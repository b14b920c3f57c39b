// Package config defines what the tier is configured with: the document that an operator
// publishes, and the directory of upstreams that register themselves with the platform.
//
// Decode and Check are pure functions, so every host accepts or refuses a document alike.
// Accept returns an Index, a checked document with lookup tables. Directory.With derives
// the next Directory from a change; changes may arrive twice or out of order. An Index and
// a Directory are immutable, so any goroutine may read them.
//
// The package imports no other package of the tier.
package config
