package tmguard

import "bytes"

const (
	// readBufferSize is the size of the buffer through which net/http reads a connection.
	// TestReadBufferOfServer guards it.
	readBufferSize = 4096
	// lineCost is the memory of a header line in net/http beside its bytes: the entry in the
	// map, two strings, a slice, and the growth of the map.
	lineCost = 192
	// idleDeadlines is how many read deadlines net/http sets after a response until it waits for
	// the next request. It does so only if it has read less than 4 bytes of that request already;
	// otherwise it sets another deadline and reads the header.
	idleDeadlines = 1
	// freeLines is the number of lines of a header that is part of the cost of a connection.
	freeLines = 64
)

// headerCount counts the bytes and lines of one header as net/http takes them from the
// connection. Not safe for concurrent use.
//
// The bytes that are counted are bytes of the header once net/http reads again: if the header
// had ended within them, net/http would have called the handler instead. So exceeds is asked
// before each read, and the bytes of the body that arrive with the end of the header are never
// judged.
type headerCount struct {
	limits *Limits
	// bytes, lines and lead count since the header began, except what was read together with the
	// request before. ahead is at least the number of lines of the latter.
	bytes, lines, lead, ahead int
	// reading is set from the first read, begun by the first byte that isn't a line end, ended
	// by an empty line, after which lines aren't counted.
	reading, begun, ended bool
	// follows is set when the connection has had a request before.
	follows bool
	// deadlines is the number of read deadlines set since the last response.
	deadlines int
	// tailLines is at least the number of lines that are left in the buffer of net/http.
	tailLines int
}

// reset begins the header of the next request.
func (h *headerCount) reset() {
	*h = headerCount{limits: h.limits, tailLines: h.tailLines, follows: true}
}

// beforeRead must be called before each read for a header, with the size of the slice that is
// read into. It returns the limit that the header exceeds, if any.
func (h *headerCount) beforeRead(size int) (kind Kind, over bool) {
	if !h.reading {
		h.reading = true
		h.begun = h.follows && size != readBufferSize
		if h.follows && h.deadlines != idleDeadlines {
			h.ahead, h.begun = h.tailLines, true
		}
		return 0, false
	}
	switch {
	case h.lead > h.limits.LeadBytes:
		return LeadBytes, true
	case h.bytes > h.limits.HeaderBytes:
		return HeaderBytes, true
	case h.lines > h.limits.HeaderLines:
		return HeaderLines, true
	}
	return 0, false
}

// add counts what was read for a header.
func (h *headerCount) add(data []byte) {
	h.bytes += len(data)
	if !h.begun {
		rest := bytes.TrimLeft(data, "\r\n")
		h.lead += len(data) - len(rest)
		h.begun, data = len(rest) > 0, rest
	}
	// An empty line that is split between two reads is not found, so that all lines of the
	// second one may belong to the next header.
	h.tailLines = countLines(data)
	if h.ended {
		return
	}
	if end := headerEnd(data); end >= 0 {
		h.ended = true
		h.lines += countLines(data[:end])
		h.tailLines = countLines(data[end:])
		return
	}
	h.lines += h.tailLines
}

// addOther counts what was read for a body, into a slice of the given size.
func (h *headerCount) addOther(data []byte, size int) {
	switch {
	case size > readBufferSize:
		// Read past the buffer, which is empty then.
		h.tailLines = 0
	case size == readBufferSize:
		h.tailLines = countLines(data)
	default:
		// There is something in the buffer, or net/http looks for the end of the connection
		// while it serves a request.
		h.tailLines += countLines(data)
	}
}

// cost returns the memory of the header in net/http beyond that of an ordinary one.
func (h *headerCount) cost() int64 { return lineCosts(h.lines + h.ahead) }

func lineCosts(lines int) int64 { return int64(max(lines-freeLines, 0)) * lineCost }

func countLines(data []byte) int { return bytes.Count(data, []byte{'\n'}) }

// headerEnd returns the index after the first empty line that follows another line in data, or -1.
func headerEnd(data []byte) int {
	for from := 0; ; {
		i := bytes.IndexByte(data[from:], '\n')
		if i < 0 {
			return -1
		}
		from += i + 1
		switch rest := data[from:]; {
		case bytes.HasPrefix(rest, []byte{'\n'}):
			return from + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return from + 2
		}
	}
}
