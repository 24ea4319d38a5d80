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
	back, err := tmcodec.DecodeState(data)
	zone, _ := back.Config().Zones().Get("a")
	fmt.Println(back.Version(), zone.OutOfService(), back.HasChange("change-1"), err)
	// Output: 1 true true <nil>
}
