package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
)

// The ports lie below the ephemeral port range of the kernel, so that no outgoing
// connection takes one between the check that it is free and its use.
const (
	firstPort = 12_000
	lastPort  = 30_000
)

// Ports allocates free ports of one loopback address. Each fleet uses a random
// address in 127.0.0.0/8 to avoid port conflicts with fleets of other processes
// on the same machine.
type Ports struct {
	ip   string
	next int
}

// NewPorts returns an allocator for the ports of a random loopback address.
func NewPorts() *Ports {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	return &Ports{ip: ip, next: firstPort}
}

// Take allocates n consecutive free ports and returns the first.
func (p *Ports) Take(n int) (int, error) {
	for first := p.next; first+n <= lastPort; first++ {
		if portsFree(p.ip, first, n) {
			p.next = first + n
			return first, nil
		}
	}
	return 0, fmt.Errorf("harness: no %d consecutive free ports on %s from port %d", n, p.ip, p.next)
}

// Address returns the IP:port of a port.
func (p *Ports) Address(port int) string {
	return net.JoinHostPort(p.ip, strconv.Itoa(port))
}

// portsFree reports whether n ports from first on can be bound.
func portsFree(ip string, first, n int) bool {
	for port := first; port < first+n; port++ {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}
