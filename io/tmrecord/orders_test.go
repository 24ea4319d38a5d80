package tmrecord_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/io/tmrecord"
)

// Guards against orders for maintenance that the next owner takes for moves, also in a row of an
// earlier version, which tells no kinds.
func TestOrdersForMaintenanceAreKept(t *testing.T) {
	cases := []struct {
		row  []byte
		want []string
	}{
		{[]byte(`{"i":["a","b"]}`), []string{"a", "b"}},
		{tmrecord.EncodeOrders(tmrecord.Orders{Instances: []string{"a", "b"}, Maintenance: []string{"b"}}), []string{"b"}},
		{tmrecord.EncodeOrders(tmrecord.Orders{Instances: []string{"a", "b"}, Maintenance: []string{}}), []string{}},
	}
	for _, c := range cases {
		o, err := tmrecord.DecodeOrders(c.row)
		assert.NilError(t, err)
		assert.DeepEqual(t, o, tmrecord.Orders{Instances: []string{"a", "b"}, Maintenance: c.want})
	}
}
