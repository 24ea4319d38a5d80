package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
)

// Ports are taken below the range from which the system takes those of
// outgoing connections, so that none is lost between its choice and its use.
const (
	firstPort = 12_000
	lastPort  = 30_000
)

// Ports hands out free ports of one loopback address. Each fleet has an address
// of its own in 127.0.0.0/8, so that fleets of other processes on the machine
// don't collide with it.
type Ports struct {
	ip   string
	next int
}

// NewPorts returns the ports of a random loopback address.
func NewPorts() *Ports {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	return &Ports{ip: ip, next: firstPort}
}

// Take returns the first of n consecutive free ports.
func (p *Ports) Take(n int) (int, error) {
	for first := p.next; first+n <= lastPort; first++ {
		if free(p.ip, first, n) {
			p.next = first + n
			return first, nil
		}
	}
	return 0, fmt.Errorf("harness: no %d free ports at %s from %d on", n, p.ip, p.next)
}

// Address returns IP:port of a port.
func (p *Ports) Address(port int) string {
	return net.JoinHostPort(p.ip, strconv.Itoa(port))
}

func free(ip string, first, n int) bool {
	for port := first; port < first+n; port++ {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}
