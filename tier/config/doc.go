// Package config declares what the tier is told: the configuration document that an
// operator publishes, and the directory of upstreams that list themselves.
//
// It owns the form of both. A document is decoded strictly and checked by a pure
// function, so that every host accepts or refuses it alike; Accept gives an Index,
// which is a document with look-ups. A Directory is made from the one before by a
// change, and changes may arrive twice or out of order. An Index and a Directory
// never change once made, so any goroutine may read them.
//
// It relies on no other package of the tier. Begin with Document, the map of what
// can be configured, then Accept and Directory.With.
package config
