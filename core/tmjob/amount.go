package tmjob

// Amount is a quantity of an endpoint's capacity.
type Amount struct {
	// CPU is in thousandths of a core, Mem in megabytes, GPU in accelerators.
	CPU, Mem, GPU int64
}

// Add returns a + b.
func (a Amount) Add(b Amount) Amount {
	return Amount{CPU: a.CPU + b.CPU, Mem: a.Mem + b.Mem, GPU: a.GPU + b.GPU}
}

// Sub returns a - b. Parts of the result may be negative.
func (a Amount) Sub(b Amount) Amount {
	return Amount{CPU: a.CPU - b.CPU, Mem: a.Mem - b.Mem, GPU: a.GPU - b.GPU}
}

// Fits reports whether no part of a is above that of room.
func (a Amount) Fits(room Amount) bool {
	return a.CPU <= room.CPU && a.Mem <= room.Mem && a.GPU <= room.GPU
}

// Within reports whether a respects limit, in which a part of 0 means that it
// has no limit.
func (a Amount) Within(limit Amount) bool {
	return (limit.CPU == 0 || a.CPU <= limit.CPU) &&
		(limit.Mem == 0 || a.Mem <= limit.Mem) &&
		(limit.GPU == 0 || a.GPU <= limit.GPU)
}
