package tmpeer

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// processTime returns the CPU time that this process has used, in user and kernel
// mode.
func processTime(t testing.TB) time.Duration {
	var usage syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
