package tmmove

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"turmericmoor/core/tmclock"
)

// Holiday is a period in which customers are away and demand is low. Times are
// wall times.
type Holiday struct {
	From, Return tmclock.Millis
	// MaxEarly is the longest time before Return at which demand may come back.
	// The capacity for the returning demand is on from Return minus MaxEarly.
	MaxEarly tmclock.Span
}

// ErrHoliday reports a holiday that does not end after it begins.
var ErrHoliday = errors.New("tmmove: holiday does not end after it begins; expected from < return")

// Calendar is a list of holidays.
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

// At returns the holiday that contains t.
func (c Calendar) At(t tmclock.Millis) (Holiday, bool) {
	for _, h := range c.holidays {
		if t >= h.From && t < h.Return {
			return h, true
		}
	}
	return Holiday{}, false
}

// Observation is the state of one pool at one time.
type Observation struct {
	// Wall is the wall time of the observation.
	Wall tmclock.Millis
	// Demand is the running and waiting work, as the number of instances that it
	// keeps busy. UrgentDemand is the urgent work alone.
	Demand, UrgentDemand float64
	// On is the number of instances that are on, Total the number of all.
	On, Total int
}

// Provisioner determines how many instances of one pool should be on. It is not
// safe for concurrent use.
type Provisioner interface {
	// DesiredInstances records the observation and returns the number of
	// instances that should be on, from 1 to Total. It must be called at least
	// once a minute.
	DesiredInstances(Observation) int
}

// StaticProvisioner keeps all instances on. It is the baseline for the cost of
// spare capacity.
type StaticProvisioner struct{}

// DesiredInstances returns Total.
func (StaticProvisioner) DesiredInstances(o Observation) int { return o.Total }

// headroom is the fraction by which capacity exceeds the measured demand, so that
// ordinary increases find capacity while further instances start.
const headroom = 0.25

// ReactiveProvisioner follows the measured demand and turns off instances that
// were not needed for scaleDownDelay. It is the baseline without a forecast.
type ReactiveProvisioner struct {
	recentPeak slidingMax
}

// scaleDownDelay is how long an instance must be unneeded before it is turned
// off.
const scaleDownDelay = 30 * tmclock.Minute

// DesiredInstances returns the peak demand within scaleDownDelay plus headroom.
func (r *ReactiveProvisioner) DesiredInstances(o Observation) int {
	r.recentPeak.add(o.Wall, o.Demand, scaleDownDelay)
	return clamp(r.recentPeak.max()*(1+headroom), o.Total)
}

// ScheduledProvisioner starts capacity before the end of each holiday in the
// calendar, when demand returns, and at once if demand returns earlier. During a
// holiday it keeps at least enough instances on for the urgent work of a full
// return. Urgent work can use all of them, because it is started first on every
// instance.
type ScheduledProvisioner struct {
	calendar Calendar
	// startupTime is how long an instance takes to start.
	startupTime tmclock.Span
	usualPeak   slidingMax
	urgentPeak  slidingMax
	recentPeak  slidingMax
	// earlyReturn is the last holiday from which demand returned early.
	earlyReturn Holiday
}

const (
	// baselineWindow is the time before a holiday over which the usual peak is
	// measured. A week includes every day of the week.
	baselineWindow = 7 * 24 * tmclock.Hour
	// returnSurge is the fraction by which demand at the return exceeds the usual
	// peak, since postponed work arrives together with the usual work.
	returnSurge = 0.5
	// earlyReturnThreshold is the fraction of the usual peak from which demand
	// during a holiday counts as an early return.
	earlyReturnThreshold = 0.5
	// urgentReserveFactor is the capacity kept on during a holiday, as a multiple
	// of the urgent work of a return. On fully used instances urgent work starts
	// only when a task ends. With tasks of 4 s and a return 8 to 30 h early, the
	// share of urgent work that waited for more than 1 s was 4.6% at twice the
	// mean, 0.2% at four times and 0 at five times (worst of 7 seeds).
	urgentReserveFactor = 5
	// startMargin is a safety margin that is added to the startup time.
	startMargin = 5 * tmclock.Minute
)

// NewScheduledProvisioner returns a ScheduledProvisioner for instances with the
// given startup time.
func NewScheduledProvisioner(calendar Calendar, startupTime tmclock.Span) *ScheduledProvisioner {
	return &ScheduledProvisioner{calendar: calendar, startupTime: startupTime}
}

// DesiredInstances returns how many instances should be on.
func (p *ScheduledProvisioner) DesiredInstances(o Observation) int {
	h, inHoliday := p.calendar.At(o.Wall)
	p.recentPeak.add(o.Wall, o.Demand, scaleDownDelay)
	if !inHoliday || h == p.earlyReturn {
		p.usualPeak.add(o.Wall, o.Demand, baselineWindow)
		p.urgentPeak.add(o.Wall, o.UrgentDemand, baselineWindow)
		return o.Total
	}
	if p.usualPeak.empty() {
		return o.Total
	}
	if o.Demand >= earlyReturnThreshold*p.usualPeak.max() && o.Wall.Sub(h.From) > scaleDownDelay {
		p.earlyReturn = h
		return o.Total
	}
	if o.Wall >= p.ScaleUpTime(h) {
		return clamp(p.usualPeak.max()*(1+returnSurge)*(1+headroom), o.Total)
	}
	reserve := p.urgentPeak.max() * (1 + returnSurge) * urgentReserveFactor
	return clamp(max(p.recentPeak.max()*(1+headroom), reserve), o.Total)
}

// ScaleUpTime returns the wall time at which to start the instances for the demand
// that returns at the end of the holiday h.
func (p *ScheduledProvisioner) ScaleUpTime(h Holiday) tmclock.Millis {
	return h.Return.Add(-h.MaxEarly - p.startupTime - startMargin)
}

func clamp(instances float64, total int) int {
	return min(max(int(math.Ceil(instances-1e-9)), 1), total)
}

// slidingMax is the maximum over a sliding window, with a resolution of one
// minute.
type slidingMax struct {
	// samples is a monotonic queue: its values decrease strictly, so the first
	// one is the maximum.
	samples []sample
}

type sample struct {
	minute int64
	value  float64
}

func (p *slidingMax) add(now tmclock.Millis, value float64, window tmclock.Span) {
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

func (p *slidingMax) max() float64 {
	if p.empty() {
		return 0
	}
	return p.samples[0].value
}

func (p *slidingMax) empty() bool { return len(p.samples) == 0 }
