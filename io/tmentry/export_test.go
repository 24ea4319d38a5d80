package tmentry

import "turmericmoor/io/tmwaves"

// WrapWaves replaces the parts that lead waves and finish moves, so that
// negative controls can switch their checks off.
func (o *Options) WrapWaves(wrap func(tmwaves.Parts) tmwaves.Parts) {
	o.wrapWaves = wrap
}

// Kill ends the entry as the death of its process would: it gives nothing back
// and tells nobody.
func (e *Entry) Kill() {
	e.platform.Close()
	e.cancel()
	_ = e.node.Close()
	e.tables.close()
	e.loops.Wait()
}
