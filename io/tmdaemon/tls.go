package tmdaemon

import (
	"crypto/tls"
	"net"

	"turmericmoor/io/tmtls"
)

func newTLSListener(inner net.Listener, source *tmtls.Source) net.Listener {
	return tls.NewListener(inner, source.Config())
}
