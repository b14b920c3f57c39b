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

// Addresses of a host of a soak. Each host has a loopback address of its own, which
// holds the soak's process ID: a port of the shared address that is free now may
// be taken by the time its daemon binds it.
const (
	// soakListen is the port for callers.
	soakCallerPort = 7400
	// soakPeer is the port for other hosts.
	soakPeerPort = 7401
	// soakOperate is the port for operators.
	soakOperatorPort = 7402
	// soakNet is the second byte of the first host's address; 127.0 is everybody's.
	soakFirstNet = 64
	// soakSeeds is how many hosts a host knows at its start.
	soakMaxSeeds = 3
)

func hostAddress(i int) netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, byte(soakFirstNet + i), byte(pid >> 8), byte(pid)})
}

// soakHost is one entry host: a daemon that is started again when it ends.
type soakHost struct {
	name, hall string
	listen     netip.AddrPort
	operate    netip.AddrPort
	peer       netip.AddrPort
	// store is the link to the platform's store, storeAt where the host reaches it.
	storeLink    *link
	storeAddress netip.AddrPort
	// settings and log are paths of files.
	settingsPath, logPath string

	// mu guards what follows.
	mu sync.Mutex
	// process is the daemon that was started last; ended is closed when it ends.
	process *exec.Cmd
	ended   chan struct{}
	// generations counts the daemons that were started.
	generations int
	// touched is when something was last done to it; it counts as untouched
	// soakUntouched later.
	disturbedAt time.Duration
	// stopTimes are when it was stopped as planned, faultTimes when any other fault
	// began or ended.
	stopTimes, faultTimes []time.Duration
}

// addHost starts a host, by its index, behind a link to the store.
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

// writeSettings writes the file of settings, with a few hosts as seeds.
func (s *soak) writeSettings(h *soakHost) error {
	var seeds []string
	for _, o := range s.hosts[:min(soakMaxSeeds, len(s.hosts))] {
		seeds = append(seeds, o.peer.String())
	}
	text := fmt.Sprintf("LOOMD_ADAPTER=%s\nLOOMD_HOST=%s\nLOOMD_HALL=%s\nLOOMD_LISTEN=%s\nLOOMD_OPERATE=%s\nLOOMD_PEER=%s\nLOOMD_PLATFORM=%s\n"+
		"LOOMD_SEEDS=%s\nLOOMD_RETRYRATIO=%g\nLOOMD_RETRYSLACK=%d\nLOOMD_WATCHWAIT=1s\nLOOMD_SETTLE=700ms\nLOOMD_STOPBOUND=2500ms\n",
		platform.Name, h.name, h.hall, h.listen, h.operate, h.peer, h.storeAddress, strings.Join(seeds, ","), soakRetryRatio, soakRetrySlack)
	return os.WriteFile(h.settingsPath, []byte(text), 0o600)
}

func (h *soakHost) start(daemon string) error {
	f, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(daemon, "serve", "-Settings", h.settingsPath)
	c.Stdout, c.Stderr = f, f
	if err := c.Start(); err != nil {
		_ = f.Close()
		return fmt.Errorf("start %s: %w: build the daemon and name it by -Daemon", daemon, err)
	}
	ended := make(chan struct{})
	h.mu.Lock()
	h.process, h.ended = c, ended
	h.generations++
	h.mu.Unlock()
	go func() {
		_ = c.Wait() // how it ends is judged by what callers saw
		_ = f.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the daemon that this soak started.
func (h *soakHost) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(sig) // it may have ended just now
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

// restart waits for the end of the daemon of a generation and starts the next,
// unless another has done so.
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

// generation counts the daemons that ran so far.
func (h *soakHost) generation() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.generations
}
