package crowd

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sampleInterval is the time between two samples of what a daemon holds.
const sampleInterval = 20 * time.Millisecond

// holding is what a process and the kernel hold for it, in bytes.
type holding struct {
	resident int64
	unread   int64 // arrived on its connections and not read
	unsent   int64 // written to its connections and not taken by the other side
}

func (h holding) total() int64 { return h.resident + h.unread + h.unsent }

func (h holding) String() string {
	return fmt.Sprintf("%d MiB resident, %d unread, %d unsent", h.resident>>20, h.unread>>20, h.unsent>>20)
}

// meter samples what a daemon holds until it is stopped.
type meter struct {
	daemon *daemon
	addrs  []string // of its listeners

	mu       sync.Mutex
	last     holding
	peak     holding // of the largest total
	maxFiles int

	done, ended chan struct{}
}

func startMeter(d *daemon, addrs ...string) *meter {
	m := &meter{daemon: d, addrs: addrs, done: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(m.ended)
		for {
			m.sample()
			select {
			case <-m.done:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return m
}

func (m *meter) stop() {
	close(m.done)
	<-m.ended
}

// sample takes one sample. A process that is not running holds nothing.
func (m *meter) sample() {
	sockets, files, ok := openFilesOf(m.daemon.PID())
	resident, err := residentBytes(m.daemon.PID())
	if !ok || err != nil {
		return
	}
	h := holding{resident: resident}
	for _, s := range readSockets() {
		if s.listening || (!sockets[s.inode] && !m.serves(s.local)) {
			continue
		}
		h.unread += s.unread
		h.unsent += s.unsent
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.last, m.maxFiles = h, max(m.maxFiles, files)
	if h.total() > m.peak.total() {
		m.peak = h
	}
}

// serves reports whether an address is one of the daemon's listeners. The kernel names no process for a connection
// that is complete but not accepted.
func (m *meter) serves(addr string) bool {
	for _, own := range m.addrs {
		if own == addr {
			return true
		}
	}
	return false
}

// untilSteady waits until what the kernel holds for the daemon has stopped growing, for a bounded number of samples.
func (m *meter) untilSteady() {
	const most, enough, pause = 300, 10, 10 * sampleInterval
	var largest int64
	steady := 0
	for range most {
		if steady++; steady > enough {
			return
		}
		time.Sleep(pause)
		m.mu.Lock()
		kernel := m.last.unread + m.last.unsent
		m.mu.Unlock()
		if kernel > largest+largest/16 {
			largest, steady = kernel, 0
		}
	}
}

func (m *meter) result() (holding, int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peak, m.maxFiles
}

func residentBytes(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, fmt.Errorf("statm of process %d: %q", pid, data)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// openFilesOf returns the inodes of a process's sockets and the number of its descriptors.
func openFilesOf(pid int) (sockets map[string]bool, files int, ok bool) {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, 0, false
	}
	sockets = map[string]bool{}
	for _, entry := range entries {
		link, err := os.Readlink(filepath.Join(dir, entry.Name()))
		if inode, found := strings.CutPrefix(link, "socket:["); err == nil && found {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return sockets, len(entries), true
}

// socket is a line of the kernel's table of TCP sockets.
type socket struct {
	local          string
	listening      bool
	unread, unsent int64
	inode          string
}

func readSockets() (sockets []socket) {
	const stateListening = "0A"
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return nil
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 10 || fields[0] == "sl" {
			continue
		}
		unsent, unread, _ := strings.Cut(fields[4], ":")
		sockets = append(sockets, socket{
			local: decodeAddr(fields[1]), listening: fields[3] == stateListening, unread: decodeHex(unread), unsent: decodeHex(unsent), inode: fields[9],
		})
	}
	return sockets
}

// decodeAddr returns the address of a line, which the kernel writes as the hexadecimal form of a machine word.
func decodeAddr(text string) string {
	host, port, _ := strings.Cut(text, ":")
	ip := make(net.IP, net.IPv4len)
	binary.NativeEndian.PutUint32(ip, uint32(decodeHex(host)))
	return fmt.Sprintf("%s:%d", ip, decodeHex(port))
}

func decodeHex(text string) int64 {
	value, err := strconv.ParseInt(text, 16, 64)
	if err != nil {
		return 0
	}
	return value
}
