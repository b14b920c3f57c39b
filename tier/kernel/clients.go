package kernel

import (
	"cmp"
	"syscall"

	"github.com/rs/zerolog"

	"loomgap/tier/guard"
)

// clientLogDivisor is the part of the log's rate that lines about refused clients may have, so that a
// flood of them leaves the lines about requests.
const clientLogDivisor = 10

// DoorName names an address that a process listens on.
type DoorName string

// The doors of a process.
const (
	DoorCallers   DoorName = "Callers"
	DoorOperators DoorName = "Operators"
	DoorMetrics   DoorName = "Metrics"
	DoorPeers     DoorName = "Peers"
)

// connectionBytes is what a connection at rest makes the process hold, in bytes.
const connectionBytes = 8 << 10

const (
	// doorShares is the number of shares that the descriptors of a process are divided into.
	// Connections to upstreams, to other hosts and to the platform have what the doors leave.
	doorShares = 64
	// clientShares are those of the connections of all clients, peerShares those of the connections
	// that other hosts open.
	clientShares = 32
	peerShares   = 16
	// defaultDescriptors is used if the limit of the process cannot be read.
	defaultDescriptors = 1024
	// minConnections is what a door has however few descriptors there are.
	minConnections = 8
)

// reservesOf are the shares that the connections to a door can always have.
var reservesOf = map[DoorName]int{DoorCallers: 24, DoorOperators: 2, DoorMetrics: 1}

func newClients(s *Settings, log zerolog.Logger) *guard.Guard {
	cores := s.Cores
	if cores <= 0 {
		cores = defaultCores
	}
	return guard.New(guard.Config{Memory: s.Memory() * callerMemoryPercent / percent, Connections: s.connections(clientShares), Cores: cores, Log: log})
}

// descriptors returns the number of descriptors that the process may have open.
func (s *Settings) descriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		limit.Cur = defaultDescriptors
	}
	return min(cmp.Or(s.Descriptors, int(limit.Cur)), int(min(limit.Cur, 1<<30)))
}

// connections returns the number of descriptors in a number of shares.
func (s *Settings) connections(shares int) int {
	return max(s.descriptors()*shares/doorShares, minConnections)
}

// NewDoor returns a door with its share of the process's descriptors.
func (k *Kernel) NewDoor(name DoorName, c guard.DoorConfig) *guard.Door {
	c.Name = string(name)
	if c.Opaque {
		c.MaxConnections = k.Settings.connections(peerShares)
	} else {
		c.Reserve, c.ConnectionBytes = k.Settings.connections(reservesOf[name]), connectionBytes
	}
	return k.Clients.NewDoor(c)
}
