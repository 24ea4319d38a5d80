package main

import (
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericmoor/internal/load"
)

// Guards against a fit whose slope or residual is wrong, which would plan the
// wrong capacity.
func TestFit(t *testing.T) {
	a, b, worst := fit([]int{1, 2, 3, 4}, []float64{3, 5, 7, 9})
	assert.Assert(t, math.Abs(a-1) < 1e-9 && math.Abs(b-2) < 1e-9 && math.Abs(worst) < 1e-9, "%v %v %v", a, b, worst)
	_, _, worst = fit([]int{0, 1, 2}, []float64{0, 3, 0})
	assert.Assert(t, math.Abs(worst-2) < 1e-9, "%v", worst)
}

// Guards against a baseline that changes calls, or hides that the endpoint
// refused them.
func TestForwarder(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Tm-Lease") != "lease" || r.URL.Path != "/v1/tasks" {
			w.WriteHeader(http.StatusConflict)
		}
	}))
	defer target.Close()
	forwarder := httptest.NewServer(newForwarder(target.Listener.Addr().String()))
	defer forwarder.Close()
	d := &direct{http: forwarder.Client()}
	address := forwarder.Listener.Addr().String()
	assert.ErrorContains(t, d.call(context.Background(), address), "409")
	d.grant.Lease = "lease"
	assert.NilError(t, d.call(context.Background(), address))
}

// Guards against calls that fail unnoticed, so that failures count as fast
// answers.
func TestFailedCallsEndTheMeasurement(t *testing.T) {
	fail := func(context.Context) error { return http.ErrServerClosed }
	err := callFor(context.Background(), fail, 2, time.Minute, load.NewHistogram())
	assert.ErrorIs(t, err, http.ErrServerClosed)
}

// Guards against a missed target that reads like one that was met.
func TestTable(t *testing.T) {
	table := newTable("a", "b")
	table.add(1, 0.123456)
	table.add(met(false), 1234.5)
	var out strings.Builder
	assert.NilError(t, table.write(&out, "title"))
	assert.Equal(t, out.String(), "\ntitle\na       b\n1       0.1235\nMISSED  1234\n")
}
