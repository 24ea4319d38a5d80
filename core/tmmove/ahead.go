package tmmove

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"turmericmoor/core/tmclock"
)

// Holiday is a period in which customers are away. Times are wall times.
type Holiday struct {
	From, Return tmclock.Millis
	// Early is how long before Return the demand may come back. The whole
	// capacity is on from then.
	Early tmclock.Span
}

// ErrHoliday means that a holiday ends before it begins.
var ErrHoliday = errors.New("tmmove: holiday returns before it begins; expected from < return")

// Calendar is the list of known holidays.
type Calendar struct {
	holidays []Holiday
}

// NewCalendar returns a Calendar. The error wraps ErrHoliday.
func NewCalendar(holidays ...Holiday) (Calendar, error) {
	for i, h := range holidays {
		if h.Return <= h.From {
			return Calendar{}, fmt.Errorf("%w: holiday %d", ErrHoliday, i)
		}
	}
	return Calendar{holidays: slices.Clone(holidays)}, nil
}

// At returns the holiday that includes t.
func (c Calendar) At(t tmclock.Millis) (Holiday, bool) {
	for _, h := range c.holidays {
		if t >= h.From && t < h.Return {
			return h, true
		}
	}
	return Holiday{}, false
}

// Sight is what a Provisioner knows of one pool at one moment.
type Sight struct {
	// Wall is the wall time.
	Wall tmclock.Millis
	// Demand is the present work in instances that it keeps busy, including
	// work that waits. Urgent is the part of it that is urgent.
	Demand, Urgent float64
	// On is the number of instances that are on, Total how many there are.
	On, Total int
}

// Provisioner says how many instances of one pool should be on. It is not
// safe for concurrent use.
type Provisioner interface {
	// Wanted notes what was seen and returns the number, from 1 to Total. It
	// is called at least once a minute.
	Wanted(Sight) int
}

// KeepAll keeps all instances on. It is the baseline for the buffer's cost.
type KeepAll struct{}

// Wanted returns Total.
func (KeepAll) Wanted(s Sight) int { return s.Total }

// headroom is the part by which capacity exceeds the measured demand, so that
// ordinary changes within the time of a start find capacity.
const headroom = 0.25

// ReactOnly follows measured demand and turns instances off after they have
// not been needed for a while. It is the baseline without a forecast.
type ReactOnly struct {
	recent peak
}

// offAfter is how long an instance has to be unneeded before it is turned off.
const offAfter = 30 * tmclock.Minute

// Wanted returns the highest demand within offAfter with headroom.
func (r *ReactOnly) Wanted(s Sight) int {
	r.recent.note(s.Wall, s.Demand, offAfter)
	return clamp(r.recent.max()*(1+headroom), s.Total)
}

// Ahead brings capacity back before the return that the calendar announces,
// and at once when demand returns earlier. In between it keeps enough for the
// urgent work of a full return, which is started first on every instance.
type Ahead struct {
	calendar Calendar
	// startup is how long an instance takes to be on.
	startup tmclock.Span
	usual   peak
	urgent  peak
	recent  peak
	back    Holiday
}

const (
	// learnFor is the time before a holiday from which the usual demand is
	// taken: a week, so that each day of the week is in it.
	learnFor = 7 * 24 * tmclock.Hour
	// surge is the part by which the return exceeds the usual peak, since what
	// was put off arrives together with the usual work.
	surge = 0.5
	// returned is the part of the usual peak at which a rise within a holiday
	// is taken for an early return.
	returned = 0.5
	// urgentReserve is the multiple of the urgent work of a return that is kept
	// on. On full instances urgent work starts only when a task ends. With
	// tasks of 4 s and a return 8 to 30 h early, the part that waits for more
	// than 1 s was 4.6% at twice the mean, 0.2% at four times and 0 at five
	// times (worst of 7 seeds).
	urgentReserve = 5
	// margin is added to the time of a start.
	margin = 5 * tmclock.Minute
)

// NewAhead returns an Ahead for instances that take startup to be on.
func NewAhead(calendar Calendar, startup tmclock.Span) *Ahead {
	return &Ahead{calendar: calendar, startup: startup}
}

// Wanted returns how many instances should be on.
func (a *Ahead) Wanted(s Sight) int {
	h, in := a.calendar.At(s.Wall)
	a.recent.note(s.Wall, s.Demand, offAfter)
	if !in || h == a.back {
		a.usual.note(s.Wall, s.Demand, learnFor)
		a.urgent.note(s.Wall, s.Urgent, learnFor)
		return s.Total
	}
	if a.usual.empty() {
		return s.Total
	}
	if s.Demand >= returned*a.usual.max() && s.Wall.Sub(h.From) > offAfter {
		a.back = h
		return s.Total
	}
	if s.Wall >= a.OnFrom(h) {
		return clamp(a.usual.max()*(1+surge)*(1+headroom), s.Total)
	}
	reserve := a.urgent.max() * (1 + surge) * urgentReserve
	return clamp(max(a.recent.max()*(1+headroom), reserve), s.Total)
}

// OnFrom returns when the capacity for the return is started.
func (a *Ahead) OnFrom(h Holiday) tmclock.Millis {
	return h.Return.Add(-h.Early - a.startup - margin)
}

func clamp(instances float64, total int) int {
	return min(max(int(math.Ceil(instances-1e-9)), 1), total)
}

// peak is the maximum over a sliding window, by minutes.
type peak struct {
	// samples have falling values; the first one is the maximum.
	samples []sample
}

type sample struct {
	minute int64
	value  float64
}

func (p *peak) note(now tmclock.Millis, value float64, window tmclock.Span) {
	minute := int64(now) / int64(tmclock.Minute)
	for n := len(p.samples); n > 0 && p.samples[n-1].value <= value; n-- {
		p.samples = p.samples[:n-1]
	}
	p.samples = append(p.samples, sample{minute: minute, value: value})
	oldest := minute - int64(window)/int64(tmclock.Minute)
	for p.samples[0].minute < oldest {
		p.samples = p.samples[1:]
	}
}

func (p *peak) max() float64 {
	if p.empty() {
		return 0
	}
	return p.samples[0].value
}

func (p *peak) empty() bool { return len(p.samples) == 0 }
