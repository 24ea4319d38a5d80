package tmguard

import (
	"math"
	"time"

	"golang.org/x/sys/unix"
)

// Kind is the kind of a refusal: the limit that was reached.
type Kind int

// The kinds of refusals.
const (
	// HeaderBytes is a header with too many bytes, answered with 431.
	HeaderBytes Kind = iota
	// HeaderLines is a header with too many lines, answered with 431.
	HeaderLines
	// LeadBytes is too many bytes of empty lines before a request, answered with 400.
	LeadBytes
	// HeaderTime is a header that took too long. The connection is closed.
	HeaderTime
	// Connections is a connection that was closed to make room for another one, or a new one
	// for which there was no room.
	Connections
	// HeaderMemory is a header that was refused or cut off because the headers of all
	// connections together took too much memory.
	HeaderMemory
	// BodyMemory is the same for the bodies of requests.
	BodyMemory
	// Handshake is a connection that did not prove in time that it is from a peer.
	Handshake
	kindCount
)

var kindNames = [kindCount]string{
	"header_bytes", "header_lines", "lead_bytes", "header_time", "connections", "header_memory", "body_memory", "handshake",
}

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

// Kinds returns all kinds.
func Kinds() []Kind {
	kinds := make([]Kind, kindCount)
	for i := range kinds {
		kinds[i] = Kind(i)
	}
	return kinds
}

// Limits are the limits of a Guard.
type Limits struct {
	// HeaderBytes and HeaderLines are the largest number of bytes and of lines of a header,
	// with the request line and the empty line at its end. The bytes and lines of the last
	// 4 KiB of a header are not counted, see docs/design/callers.md.
	HeaderBytes, HeaderLines int
	// LeadBytes is the largest number of bytes of empty lines before a request.
	LeadBytes int
	// HeaderTime is the longest time from the first to the last byte of a header. Only time
	// in which the process ran counts.
	HeaderTime time.Duration
	// Connections is the largest number of connections of the class Callers, Reserved that of
	// the class Control.
	Connections, Reserved int
	// HeaderMemory and BodyMemory bound the memory of headers and the bytes of bodies of all
	// connections together. One header or body is served whatever its size.
	HeaderMemory, BodyMemory int64
}

// Machine is what the process may use of its machine. 0 means that it is not known.
type Machine struct {
	// MemoryMB is the memory in MB.
	MemoryMB float64
	// Files is the number of descriptors.
	Files int
}

// Limits that ordinary callers keep: a header of 16,384 bytes within 3,000 ms.
const (
	defaultHeaderBytes = 16_384
	// shortestLine is the size of the shortest header line that net/http accepts: "a:\n".
	shortestLine = 3
	// defaultHeaderLines is reached by no header of defaultHeaderBytes.
	defaultHeaderLines = defaultHeaderBytes/shortestLine + 1
	// defaultLeadBytes is four times what net/http tolerates after a POST.
	defaultLeadBytes = 16
	// defaultHeaderTime has room for a process that gets a fifth of a core.
	defaultHeaderTime = 10 * time.Second
)

// Shares of the machine. On a node with 4,100 descriptors and 184 MB, 697 connections of callers
// and 82 others are below the 800 descriptors that core/tmshard reserves for callers, and the
// memory is below its 60 MB.
const (
	connectionShare       = 0.17
	reservedShare         = 0.02
	mainShare             = 0.8
	connectionMemoryShare = 0.10
	headerMemoryShare     = 0.06
	bodyMemoryShare       = 0.04
	// connectionBytes is the memory of a connection with its goroutine and buffers.
	connectionBytes = 25_000
	// unknownFiles bounds the number of descriptors of a machine that is not known.
	unknownFiles    = 10_000
	minConnections  = 16
	minReserved     = 8
	megabyte        = 1_000_000
	minHeaderMemory = 4 * megabyte
	minBodyMemory   = 2 * megabyte
	// unknownMemory is the limit of headers and of bodies on a machine that is not known.
	unknownMemory = 32 * megabyte
)

// DefaultLimits returns the limits for a machine. No caller that keeps to a header of 16,384
// bytes within 3,000 ms reaches the limits of a single request.
func DefaultLimits(m Machine) Limits {
	files := float64(m.Files)
	if files <= 0 {
		files = float64(min(SystemFiles(), unknownFiles))
	}
	l := Limits{
		HeaderBytes: defaultHeaderBytes, HeaderLines: defaultHeaderLines, LeadBytes: defaultLeadBytes, HeaderTime: defaultHeaderTime,
		Connections: int(files * connectionShare), Reserved: max(int(files*reservedShare), minReserved),
		HeaderMemory: unknownMemory, BodyMemory: unknownMemory,
	}
	if m.MemoryMB > 0 {
		memory := m.MemoryMB * megabyte
		l.Connections = min(l.Connections, int(memory*connectionMemoryShare/connectionBytes))
		l.HeaderMemory = max(int64(memory*headerMemoryShare), minHeaderMemory)
		l.BodyMemory = max(int64(memory*bodyMemoryShare), minBodyMemory)
	}
	l.Connections = max(l.Connections, minConnections)
	return l
}

// SystemFiles returns how many descriptors the system lets the process open.
func SystemFiles() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return unknownFiles
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// ConnectionsFor returns the largest number of connections of callers for a process that does
// little else with its descriptors.
func ConnectionsFor(files int) int { return int(float64(files) * mainShare) }
