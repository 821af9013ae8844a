package budget

import "time"

// Bytes is an amount of memory.
type Bytes int64

// Units of memory.
const (
	KB Bytes = 1 << 10
	MB Bytes = 1 << 20
)

// Class is a kind of connections that others open to this process.
type Class string

// The classes.
const (
	// Callers are connections of callers, in any protocol.
	Callers Class = "callers"
	// Links are connections of other VMs.
	Links Class = "links"
	// Pages are connections to the HTTP pages.
	Pages Class = "pages"
)

// Limits are what sessions may use. They are fixed once a Budget is in use.
type Limits struct {
	// Total is what all sessions may hold together beyond ConnectionBytes each, Session what one may
	// keep from one request to the next. All of these together are at most half of Total.
	Total, Session Bytes
	// Connections is the limit of open connections by class.
	Connections map[Class]int
}

const (
	// ConnectionBytes is what a connection needs while it holds no long message: its goroutine's stack,
	// its buffers here, and those of the kernel.
	ConnectionBytes = 40 * KB
	// KernelBuffer is the size of the kernel's receive and send buffers of an accepted connection. Bytes
	// in them count towards the process's memory; the kernel's own sizes grow to megabytes.
	KernelBuffer = 16 * KB
	// FreeBytes is the length of a message or answer up to which it isn't charged, as part of
	// ConnectionBytes.
	FreeBytes = 16 * KB
	// sessionMessages is how many of the longest messages a session may keep by default, if the memory is
	// enough.
	sessionMessages = 8

	// connectionPart and totalPart are the parts of the memory for ConnectionBytes of all connections
	// and for Limits.Total. The rest is for the process itself and for garbage.
	connectionPart, totalPart = 0.3, 0.25
	// softPart is the part of the memory, without programSize, from which on the garbage collector works
	// harder. The rest is for the kernel's buffers and for what is allocated while it works.
	softPart = 0.7
	// programSize is what the program's own text and data take, which the Go runtime doesn't count.
	programSize = 12 * MB
	// maxFiles is how many descriptors are reserved for files, at most a quarter of all.
	maxFiles = 200
	// minPages is the least number of connections to the HTTP pages.
	minPages = 12
)

// StallTime is how long a session may make no progress, sending or receiving, before others that wait
// may have it closed. At 250 ms, clients on a machine with a load of 50 on 7 cores were taken for stalled.
const StallTime = time.Second

// IdleLinkTime is how long another VM keeps an idle link at most. One that was idle for longer may be
// closed.
const IdleLinkTime = 10 * time.Second

// LimitsFor returns the limits for a machine with an amount of memory and a number of descriptors. Half
// of the descriptors, without those for files, are for callers, a quarter for links of other VMs, a
// sixteenth for the HTTP pages, if the memory is enough for these; the rest is for connections that this
// process opens. Clients' messages have up to longest bytes.
func LimitsFor(memory Bytes, descriptors int, longest Bytes) Limits {
	available := descriptors - min(maxFiles, descriptors/4)
	affordable := int(connectionPart * float64(memory) / float64(ConnectionBytes))
	total := Bytes(totalPart * float64(memory))
	return Limits{
		Total: total, Session: sessionLimit(total, longest),
		Connections: map[Class]int{
			Callers: min(available/2, affordable*6/10),
			Links:   min(available/4, affordable*3/10),
			Pages:   max(min(available/16, affordable/10), minPages),
		},
	}
}

func sessionLimit(total, longest Bytes) Bytes { return min(sessionMessages*longest, total/4) }

// SoftMemoryLimit returns the limit for the Go runtime's own memory on a machine with an amount of memory.
func SoftMemoryLimit(memory Bytes) Bytes { return Bytes(softPart * float64(memory-programSize)) }
