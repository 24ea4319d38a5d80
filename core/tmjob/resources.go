package tmjob

// Resources is an amount of processor, memory and accelerators: the capacity of
// an endpoint or the part of it that a task needs.
type Resources struct {
	// CPU is in thousandths of a core, Mem in megabytes, GPU in whole
	// accelerators.
	CPU, Mem, GPU int64
}

// Add returns a + b.
func (a Resources) Add(b Resources) Resources {
	return Resources{CPU: a.CPU + b.CPU, Mem: a.Mem + b.Mem, GPU: a.GPU + b.GPU}
}

// Sub returns a - b. Fields of the result may be negative.
func (a Resources) Sub(b Resources) Resources {
	return Resources{CPU: a.CPU - b.CPU, Mem: a.Mem - b.Mem, GPU: a.GPU - b.GPU}
}

// Max returns the larger of each field of a and b.
func (a Resources) Max(b Resources) Resources {
	return Resources{CPU: max(a.CPU, b.CPU), Mem: max(a.Mem, b.Mem), GPU: max(a.GPU, b.GPU)}
}

// Min returns the smaller of each field of a and b.
func (a Resources) Min(b Resources) Resources {
	return Resources{CPU: min(a.CPU, b.CPU), Mem: min(a.Mem, b.Mem), GPU: min(a.GPU, b.GPU)}
}

// Fits reports whether no field of a exceeds that of available.
func (a Resources) Fits(available Resources) bool {
	return a.CPU <= available.CPU && a.Mem <= available.Mem && a.GPU <= available.GPU
}

// CountIn returns how many times a fits into available, at most limit.
func (a Resources) CountIn(available Resources, limit int64) int64 {
	n := limit
	for _, part := range [][2]int64{{a.CPU, available.CPU}, {a.Mem, available.Mem}, {a.GPU, available.GPU}} {
		if part[0] > 0 {
			n = min(n, max(0, part[1])/part[0])
		}
	}
	return n
}

// Within reports whether no field of a exceeds that of limit. A field of limit
// that is 0 is unlimited.
func (a Resources) Within(limit Resources) bool {
	return (limit.CPU == 0 || a.CPU <= limit.CPU) &&
		(limit.Mem == 0 || a.Mem <= limit.Mem) &&
		(limit.GPU == 0 || a.GPU <= limit.GPU)
}
