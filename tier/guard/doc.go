// Package guard protects a process from clients that do not behave. It keeps one account of all
// that clients make the process hold: connections, heads as parsed and bodies. It also limits the
// processor time that they cost beyond ordinary requests.
//
// A Guard is the account of a process. Each address that the process listens on has a Door, with a
// number of connections of its own, so that clients of one address leave the others to theirs.
// Door.Listen wraps the connections of a listener: a Conn reads the head of a request line by line
// before net/http parses it, and refuses it, at once and before it runs, if it is over a limit or
// if there is no room for it.
//
// If room is short, those who hold most for longest without progress give way (account.go). What
// a connection costs beyond ordinary requests is delayed while such costs use up their part of the
// processor (pacer.go).
//
// Start reading with Guard in account.go, then Door in door.go and Conn in conn.go. listen.go accepts
// connections, request.go follows one request, head.go and body.go find the ends of its head and its
// body, refuse.go turns it away.
package guard
