package budget

import (
	"os"
	"runtime/debug"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// Overrides are limits set by the operator. Those that are 0 follow from the machine's limits.
type Overrides struct {
	// MemoryMB and Descriptors replace the machine's limits of memory and of open descriptors.
	MemoryMB, Descriptors int
	// MaxCallers, MaxLinks and MaxPages limit the open connections by class.
	MaxCallers, MaxLinks, MaxPages int
	// MaxHeldMB limits what all sessions may hold together, MaxSessionKB what one may keep.
	MaxHeldMB, MaxSessionKB int
}

// Define calls flag with the name, the help text and the environment variable of each limit.
func (o *Overrides) Define(flag func(name, help, variable string, target *int)) {
	for _, f := range o.fields() {
		flag(f.name, f.help, "SAVORYRAMP_"+strings.ToUpper(strings.ReplaceAll(f.name, "-", "_")), f.target)
	}
}

type overrideField struct {
	name, help string
	target     *int
}

func (o *Overrides) fields() []overrideField {
	return []overrideField{
		{"memory-limit-mb", "Memory that this process may use, in MB; 0 means the machine's limit.", &o.MemoryMB},
		{"descriptor-limit", "Descriptors that this process may open; 0 means the machine's limit.", &o.Descriptors},
		{"max-callers", "Maximum number of callers' connections; 0 means what memory and descriptors allow.", &o.MaxCallers},
		{"max-links", "Maximum number of connections of other VMs; 0 means what memory and descriptors allow.", &o.MaxLinks},
		{"max-page-connections", "Maximum number of connections to HTTP pages; 0 means what descriptors allow.", &o.MaxPages},
		{"max-held-mb", "Memory in MB that the messages and answers of all sessions may take together; 0 means a quarter of the memory.", &o.MaxHeldMB},
		{"max-session-kb", "Memory in KB that a session may keep from one request to the next; 0 means a quarter of --max-held-mb, at most 8 of the longest messages.", &o.MaxSessionKB},
	}
}

// Validate returns ErrLimit if a limit is negative.
func (o *Overrides) Validate() error {
	for _, f := range o.fields() {
		if *f.target < 0 {
			return ErrLimit.New("--%s is %d, must be at least 0", f.name, *f.target)
		}
	}
	return nil
}

// Apply sets the soft limit of the Go runtime's memory, and returns the limits for a machine with an
// amount of memory and a number of descriptors, for clients whose messages have up to longest bytes.
// Where the machine's limits are 0, they are read from the system.
func (o *Overrides) Apply(memoryMB, descriptors int, longest Bytes) Limits {
	memory := Bytes(firstSet(o.MemoryMB, memoryMB)) * MB
	if memory == 0 {
		memory = systemMemory()
	}
	descriptors = firstSet(o.Descriptors, descriptors)
	if descriptors == 0 {
		descriptors = systemDescriptors()
	}
	debug.SetMemoryLimit(int64(SoftMemoryLimit(memory)))
	return o.replace(LimitsFor(memory, descriptors, longest), longest)
}

// replace returns the limits with those set by the operator.
func (o *Overrides) replace(l Limits, longest Bytes) Limits {
	l.Connections = map[Class]int{
		Callers: firstSet(o.MaxCallers, l.Connections[Callers]),
		Links:   firstSet(o.MaxLinks, l.Connections[Links]),
		Pages:   firstSet(o.MaxPages, l.Connections[Pages]),
	}
	if o.MaxHeldMB > 0 {
		l.Total = Bytes(o.MaxHeldMB) * MB
		l.Session = sessionLimit(l.Total, longest)
	}
	if o.MaxSessionKB > 0 {
		l.Session = Bytes(o.MaxSessionKB) * KB
	}
	return l
}

func firstSet(values ...int) int {
	for _, v := range values {
		if v > 0 {
			return v
		}
	}
	return 0
}

// cgroupMemoryFile has the memory limit of the process's control group, or "max".
const cgroupMemoryFile = "/sys/fs/cgroup/memory.max"

// systemMemory returns the memory limit of the control group, or else the machine's memory.
func systemMemory() Bytes {
	text, err := os.ReadFile(cgroupMemoryFile)
	if err == nil {
		if n, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil && n > 0 {
			return Bytes(n)
		}
	}
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return assumedMemory
	}
	return Bytes(uint64(info.Totalram) * uint64(info.Unit))
}

// systemDescriptors returns the process's limit of open descriptors.
func systemDescriptors() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return assumedDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}

const (
	// assumedMemory and assumedDescriptors are used if the system doesn't tell its limits.
	assumedMemory      = 256 * MB
	assumedDescriptors = 1024
	// maxDescriptors bounds limits that are unlimited in effect.
	maxDescriptors = 1 << 20
)
