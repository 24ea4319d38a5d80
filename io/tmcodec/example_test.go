package tmcodec_test

import (
	"fmt"

	"turmericmoor/core/tmfleet"
	"turmericmoor/io/tmcodec"
)

func ExampleEncodeState() {
	zones := tmfleet.Table[string, tmfleet.Zone]{}.With("a", tmfleet.NewZone("a", "west", true))
	s := tmfleet.State{}.Next("change-1", tmfleet.Config{}.WithZones(zones))
	data, err := tmcodec.EncodeState(s)
	if err != nil {
		fmt.Println(err)
		return
	}
	decoded, err := tmcodec.DecodeState(data)
	zone, _ := decoded.Config().Zones().Get("a")
	fmt.Println(decoded.Version(), zone.OutOfService(), decoded.HasChange("change-1"), err)
	// Output: 1 true true <nil>
}
