package hostile

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// sampleInterval is how often the process's memory and descriptors are read.
const sampleInterval = 10 * time.Millisecond

// process is a program under test with what it has used so far.
type process struct {
	command *exec.Cmd
	log     string
	done    chan struct{}
	// addresses are the local addresses, as in /proc/net/tcp, whose socket buffers count as the
	// process's memory.
	addresses map[string]bool

	mu sync.Mutex
	// peakMemory is the highest sum of resident memory and of the bytes that wait in the kernel's
	// buffers of its sockets, peakDescriptors the highest number of open descriptors.
	peakMemory, peakDescriptors int
	stop                        chan struct{}
	sampler                     sync.WaitGroup
}

// startProcess starts a program, with a limit of its open descriptors, until the test ends.
func startProcess(t *testing.T, program string, arguments, environment []string, descriptors int, addresses ...string) *process {
	t.Helper()
	path := filepath.Join(t.TempDir(), "log")
	log, err := os.Create(path)
	assert.NilError(t, err)
	c := exec.Command(filepath.Join(binaries, program), arguments...)
	c.Env = append(os.Environ(), environment...)
	c.Stdout, c.Stderr = log, log
	assert.NilError(t, c.Start())
	limit := unix.Rlimit{Cur: uint64(descriptors), Max: uint64(descriptors)}
	assert.NilError(t, unix.Prlimit(c.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil))
	p := &process{command: c, log: path, done: make(chan struct{}), stop: make(chan struct{}), addresses: map[string]bool{}}
	for _, address := range addresses {
		p.addresses[kernelForm(t, address)] = true
	}
	go func() {
		_ = c.Wait()
		log.Close()
		close(p.done)
	}()
	p.sampler.Go(p.sample)
	t.Cleanup(p.end)
	return p
}

// end kills the process: its orderly end isn't tested here.
func (p *process) end() {
	close(p.stop)
	p.sampler.Wait()
	_ = p.command.Process.Kill()
	<-p.done
}

func (p *process) lives() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *process) sample() {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-tick.C:
			p.sampleOnce()
		}
	}
}

func (p *process) sampleOnce() {
	memory := max(p.status("VmRSS")+p.queuedBytes(), p.status("VmHWM"))
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peakMemory, p.peakDescriptors = max(p.peakMemory, memory), max(p.peakDescriptors, len(entries))
}

func (p *process) peaks() (memory, descriptors int) {
	p.sampleOnce()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peakMemory, p.peakDescriptors
}

// status returns a field of the process's status in bytes, 0 if the process has ended.
func (p *process) status(field string) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		if name, value, _ := strings.Cut(lines.Text(), ":"); name == field {
			kilobytes, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kilobytes << 10
		}
	}
	return 0
}

// queuedBytes returns the bytes in the kernel's buffers of the sockets on the process's addresses.
func (p *process) queuedBytes() int {
	total := 0
	for _, table := range []string{"tcp", "udp"} {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/%s", p.command.Process.Pid, table))
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(bytes.NewReader(text))
		for lines.Scan() {
			fields := strings.Fields(lines.Text())
			if len(fields) < 5 {
				continue
			}
			if !p.addresses[fields[1]] {
				continue
			}
			sent, received, _ := strings.Cut(fields[4], ":")
			for _, queue := range []string{sent, received} {
				n, _ := strconv.ParseInt(queue, 16, 64)
				total += int(n)
			}
		}
	}
	return total
}

// kernelForm returns an IPv4 address with a port as /proc/net/tcp has it on little-endian machines.
func kernelForm(t *testing.T, address string) string {
	t.Helper()
	a, err := netip.ParseAddrPort(address)
	assert.NilError(t, err)
	ip := a.Addr().As4()
	return fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(ip[:]), a.Port())
}

// expectWithinLimits checks that the process lives and that its peaks stayed within its limits.
func (p *process) expectWithinLimits(t *testing.T, memoryMB, descriptorBound int) {
	t.Helper()
	memory, descriptors := p.peaks()
	t.Logf("memory %d MB of %d, descriptors %d of %d", memory>>20, memoryMB, descriptors, descriptorBound)
	if !p.lives() {
		t.Fatalf("the process has ended; its log ends: %s", p.logTail())
	}
	assert.Check(t, memory <= memoryMB<<20, "memory %d MB exceeds %d", memory>>20, memoryMB)
	assert.Check(t, descriptors <= descriptorBound, "%d descriptors exceed %d", descriptors, descriptorBound)
}

// logTail returns the last lines of the process's log.
func (p *process) logTail() string {
	text, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(string(text), "\n")
	return strings.Join(lines[max(0, len(lines)-8):], "\n")
}
