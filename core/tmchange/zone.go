package tmchange

import "turmericmoor/core/tmfleet"

func (c AddZone) apply(d *draft) {
	ok := checkNew(d, "zone", "name", c.Name, d.config.Zones())
	if !d.checkName("region", c.Region) || !ok {
		return
	}
	d.config = d.config.WithZones(d.config.Zones().With(c.Name, tmfleet.NewZone(c.Name, c.Region, false)))
}

func (c ZoneOut) apply(d *draft) { d.setZone(c.Name, true) }

func (c ZoneIn) apply(d *draft) { d.setZone(c.Name, false) }

func (d *draft) setZone(name string, out bool) {
	zone, ok := lookup(d, "zone", "name", name, d.config.Zones())
	if !ok {
		return
	}
	d.config = d.config.WithZones(d.config.Zones().With(name, zone.WithOutOfService(out)))
}
