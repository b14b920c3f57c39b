package main

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"loomgap/platform"
)

// Addresses of a host of a soak.
const (
	soakCallerPort   = 7400
	soakPeerPort     = 7401
	soakOperatorPort = 7402
	// soakFirstNet is the second byte of the first host's address. It is not 0, so that
	// the address differs from 127.0.0.1, which other processes use.
	soakFirstNet = 64
	// soakMaxSeeds limits the seeds in the settings of a host.
	soakMaxSeeds = 3
)

// hostAddress returns the loopback address of host i, which contains the process ID of
// the soak. Each soak has its own addresses, since on a shared one another process could
// take a free port before the daemon binds it.
func hostAddress(i int) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(soakFirstNet + i), byte(pid >> 8), byte(pid)})
}

// soakHost is an entry host. If a fault ends its daemon, it starts another one.
type soakHost struct {
	name, hall string
	listen     netip.AddrPort
	operate    netip.AddrPort
	peer       netip.AddrPort
	// storeLink is the link to the platform's store, storeAddress the address at which
	// the host connects to it.
	storeLink             *link
	storeAddress          netip.AddrPort
	settingsPath, logPath string
	// descriptors limits the descriptors of the daemon; 0 for the limit of this process.
	descriptors int
	// env is the environment of the daemon; nil for that of this process.
	env []string

	// mu guards the fields below.
	mu sync.Mutex
	// process is the daemon that was started last; ended is closed when it ends.
	process *exec.Cmd
	ended   chan struct{}
	// peakMemory is the largest resident memory of the daemons, in bytes.
	peakMemory int64
	// generations counts the daemons that were started.
	generations int
	// disturbedAt is when a planned stop or another fault last started or ended.
	disturbedAt time.Duration
	// stopTimes are the times of planned stops, faultTimes the times when any other
	// fault started or ended.
	stopTimes, faultTimes []time.Duration
}

// addHost starts host i behind a link to the store.
func (s *soak) addHost(i int, store netip.AddrPort) error {
	h := &soakHost{name: fmt.Sprintf("host-%d", i), hall: halls[i%2]}
	addr := hostAddress(i)
	h.listen, h.peer, h.operate = netip.AddrPortFrom(addr, soakCallerPort), netip.AddrPortFrom(addr, soakPeerPort), netip.AddrPortFrom(addr, soakOperatorPort)
	var err error
	if h.storeLink, h.storeAddress, err = s.addLink(store); err != nil {
		return err
	}
	h.settingsPath, h.logPath = filepath.Join(s.Dir, h.name+".env"), filepath.Join(s.Dir, h.name+".log")
	s.hosts = append(s.hosts, h)
	if err := s.writeSettings(h); err != nil {
		return err
	}
	return h.start(s.Daemon)
}

// writeSettings writes the settings file of a host, with the first hosts as seeds.
func (s *soak) writeSettings(h *soakHost) error {
	var seeds []string
	for _, o := range s.hosts[:min(soakMaxSeeds, len(s.hosts))] {
		seeds = append(seeds, o.peer.String())
	}
	text := fmt.Sprintf("LOOMD_ADAPTER=%s\nLOOMD_HOST=%s\nLOOMD_HALL=%s\nLOOMD_LISTEN=%s\nLOOMD_OPERATE=%s\nLOOMD_PEER=%s\nLOOMD_PLATFORM=%s\n"+
		"LOOMD_SEEDS=%s\nLOOMD_MEMORYMB=%d\nLOOMD_RETRYRATIO=%g\nLOOMD_RETRYSLACK=%d\nLOOMD_WATCHWAIT=1s\nLOOMD_SETTLE=700ms\nLOOMD_OVERLOAD=Shortage\nLOOMD_STOPBOUND=2500ms\n",
		platform.Name, h.name, h.hall, h.listen, h.operate, h.peer, h.storeAddress, strings.Join(seeds, ","), soakMemoryMB, soakRetryRatio, soakRetrySlack)
	return os.WriteFile(h.settingsPath, []byte(text), 0o600)
}

func (h *soakHost) start(daemon string) error {
	f, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(daemon, "serve", "-Settings", h.settingsPath)
	if h.descriptors > 0 {
		c = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, h.descriptors), daemon, "serve", "-Settings", h.settingsPath)
	}
	c.Stdout, c.Stderr, c.Env = f, f, h.env
	if err := c.Start(); err != nil {
		_ = f.Close()
		return fmt.Errorf("start %s: %w (build the daemon and set -Daemon)", daemon, err)
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.process, h.ended = c, ended
	h.generations++
	h.mu.Unlock()
	go func() {
		_ = c.Wait() // the exit status is not checked, only what callers saw
		_ = f.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the daemon.
func (h *soakHost) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(sig) // fails if the daemon has just ended
	}
}

// awaitEnd waits until the daemon that was started last has ended.
func (h *soakHost) awaitEnd() {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// restart waits for the daemon of a generation to end and starts the next one, unless
// a concurrent call has already started it.
func (h *soakHost) restart(generation int, daemon string) error {
	h.mu.Lock()
	ended, current := h.ended, h.generations == generation
	h.mu.Unlock()
	if !current {
		return nil
	}
	<-ended
	if h.generation() != generation {
		return nil
	}
	return h.start(daemon)
}

// generation returns the number of daemons that were started.
func (h *soakHost) generation() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.generations
}
