// Package tminterference estimates how much slower tasks of one workload run beside
// tasks of another on the same endpoint. A workload is a name that stands for tasks
// that behave alike.
//
// The estimate is a linear model of the logarithm of a time: what is usual for the
// workload, plus the slowness of the endpoint, plus the effect of each neighbour times
// the share of the time for which it was there. It is updated with each observation by
// a Kalman filter that keeps variances only (no covariances) and clips what it can't
// explain, so that a heavy tail moves it little (Masreliez and Martin, "Robust Bayesian
// estimation for the linear model and robustifying the Kalman filter", IEEE
// Transactions on Automatic Control, 1977). docs/design/interference.md has the reasons.
//
// The package does no I/O and never reads a clock. Its types are not safe for
// concurrent use.
package tminterference

import (
	"container/list"
	"math"
	"slices"

	"turmericmoor/core/tmclock"
)

const (
	// MaxWorkloads bounds the workloads of an Estimator. The least recently observed
	// workload or pair is evicted.
	MaxWorkloads = 64
	// MaxPairs is the bound on pairs.
	MaxPairs = 1024
	// HalfLife is the time in which the evidence for a figure decays to half.
	HalfLife = 60 * tmclock.Second
	// MinEvidence is the number of runs beside a neighbour, and also of runs without it,
	// below which its effect counts as none.
	MinEvidence = 20
	// MinSlowdown is the least slowdown that counts.
	MinSlowdown = 1.1

	// minShare is the least share of its time that a run shares with a neighbour to be
	// evidence for a pair. Below it the ends of runs, which are known to some tens of
	// milliseconds, decide.
	minShare = 0.05
	// firstValues is the number of values whose median is the first centre of a workload.
	// A single first value may be from the tail.
	firstValues = 5
	// The variances of the logarithms before anything is observed: the effects of
	// neighbours and endpoints are mostly within a factor of e^0.5, the centre is unknown.
	effectVariance = 0.25
	placeVariance  = 0.25
	centreVariance = 4
	// firstNoise is the variance of the logarithm of a time that is assumed for a new
	// workload, minNoise the least that is assumed for any. noiseWeight is the weight
	// of the newest value in its moving mean.
	firstNoise  = 0.1
	minNoise    = 0.0025
	noiseWeight = 0.02
	// assumedPairs is the number of pairs of runs of one group that a new workload is
	// assumed to have shown as fully alike, pairDecay how much each observation takes off
	// what earlier pairs have shown.
	assumedPairs = 10
	pairDecay    = 0.002
	// clipDeviations is the number of standard deviations of the noise beyond which a
	// difference is clipped, 1.5 as is usual for Huber's estimator.
	clipDeviations = 1.5
	// maxInformation bounds the information of a figure. What the model leaves out, such as
	// neighbours that come together, does not average out however many runs there are.
	maxInformation = 1000
	// clippedVariance is the variance of a normal distribution that is clipped so, relative
	// to the one that is not (Huber's proposal 2).
	clippedVariance = 0.778
	// minConfidence is the number of standard deviations by which an effect must differ
	// from none. With 4.5 some pairs counted by chance in simulations of jobs of varying
	// sizes.
	minConfidence = 5.5
)

// figure is an estimated logarithm with its precision.
type figure struct {
	value float64
	// prior is the variance without observations. information is the inverse of the
	// variance, less that of prior; it decays.
	prior, information float64
	// count is the number of runs observed, which decays as well.
	count float64
	at    tmclock.Millis
}

// decay lets the evidence decay until now.
func (f *figure) decay(now tmclock.Millis) {
	if now.After(f.at) {
		left := decayOver(now.Sub(f.at))
		f.information *= left
		f.count *= left
		f.at = now
	}
}

func decayOver(d tmclock.Span) float64 { return math.Exp2(-float64(d) / float64(HalfLife)) }

func (f *figure) variance() float64 { return 1 / (f.information + 1/f.prior) }

// learn moves the value by its part of an unexplained difference. share is how much the
// figure contributed, total the variance of the difference.
func (f *figure) learn(difference, share, total, weight float64) {
	variance := f.variance()
	gain := weight * variance * share / total
	f.value += gain * difference
	f.information = min(1/(variance*(1-gain*share))-1/f.prior, maxInformation)
	f.count += weight * share
}

// workload is what is known about the times of one workload.
type workload struct {
	name   string
	centre figure
	first  []float64
	// noise is the variance of the times that the model doesn't explain.
	noise float64
	// products is the sum of the products of the differences of two runs of a group, in
	// units of noise, and productCount their number.
	products, productCount float64
	pairs                  map[string]*pair
}

// pair is the effect of one workload on another.
type pair struct {
	victim *workload
	beside string
	effect figure
	// element is the entry of the pair in Estimator.pairs.
	element *list.Element
}

// Estimator learns the effects of workloads on each other.
type Estimator struct {
	workloads map[string]*list.Element
	// used holds the workloads and pairs holds the pairs, the least recently observed
	// first.
	used, pairs *list.List
	scratch     []*pair
}

// New returns an estimator that knows nothing.
func New() *Estimator {
	return &Estimator{workloads: map[string]*list.Element{}, used: list.New(), pairs: list.New()}
}

// Neighbour is a workload that ran beside the observed one for a share of its time,
// from 0 to 1.
type Neighbour struct {
	Workload string
	Share    float64
}

// Group stands for runs that may be alike, for example those of one step of a job, which
// are all longer or shorter than is usual for the workload. The zero value is a new group.
type Group struct {
	// sum is the sum of the differences of its runs, count their number.
	sum, count float64
}

// Observation is the time that something took: a whole run, or the response time of a
// task that serves users.
type Observation struct {
	Workload string
	Millis   float64
	// Weight is the number of runs that the observation counts for, at most 1.
	Weight     float64
	Neighbours []Neighbour
	// Group is that of the run, nil for none, and GroupSize the number of its runs.
	Group     *Group
	GroupSize int
	// Place is where it was observed.
	Place *Place
}

// Observe learns from an observation. One without a positive time is ignored.
func (e *Estimator) Observe(o Observation, now tmclock.Millis) {
	if !(o.Millis > 0) || math.IsInf(o.Millis, 0) || !(o.Weight > 0) {
		return
	}
	w := e.workload(o.Workload, now)
	value := math.Log(o.Millis)
	if w.first != nil {
		w.start(value)
		return
	}
	w.centre.decay(now)
	o.Place.slowness.decay(now)
	pairs := e.pairsOf(w, o.Neighbours, now)
	difference, total := value-w.centre.value-o.Place.slowness.value, w.noise+w.centre.variance()+o.Place.slowness.variance()
	for i, p := range pairs {
		if p != nil {
			share := o.Neighbours[i].Share
			difference -= share * p.effect.value
			total += share * share * p.effect.variance()
		}
	}
	limit := clipDeviations * math.Sqrt(w.noise)
	difference = max(-limit, min(limit, difference))
	weight := min(o.Weight, 1) * w.independence(o.Group, o.GroupSize, difference)
	for i, p := range pairs {
		if p != nil {
			p.effect.learn(difference, o.Neighbours[i].Share, total, weight)
		}
	}
	w.centre.learn(difference, 1, total, weight)
	o.Place.slowness.learn(difference, 1, total, weight)
	w.noise = max(minNoise, w.noise+noiseWeight*(difference*difference/clippedVariance-w.noise))
}

// independence returns how many independent runs a run of a group counts for, so that the
// whole group counts for the more the less its runs are alike (Kish's design effect). All
// pairs of the group enter that with the same weight: runs end in the order of their times,
// so that successive ones are alike in any group.
func (w *workload) independence(g *Group, size int, difference float64) float64 {
	if g == nil || size < 2 {
		return 1
	}
	w.products = (1-pairDecay)*w.products + difference*g.sum/w.noise
	w.productCount = (1-pairDecay)*w.productCount + g.count
	g.sum += difference
	g.count++
	alike := (w.products + assumedPairs) / (w.productCount + assumedPairs)
	return 1 / (1 + float64(size-1)*max(0, min(1, alike)))
}

// start takes one of the first values of a workload. Their median is its first centre.
func (w *workload) start(value float64) {
	w.first = append(w.first, value)
	if len(w.first) < firstValues {
		return
	}
	slices.Sort(w.first)
	w.centre.value, w.first = w.first[firstValues/2], nil
}

// workload returns the workload with that name, as the most recently observed one.
func (e *Estimator) workload(name string, now tmclock.Millis) *workload {
	if element := e.workloads[name]; element != nil {
		e.used.MoveToBack(element)
		return element.Value.(*workload)
	}
	if len(e.workloads) >= MaxWorkloads {
		e.evict(e.used.Front())
	}
	w := &workload{
		name: name, centre: figure{prior: centreVariance, at: now}, first: make([]float64, 0, firstValues),
		noise: firstNoise, pairs: map[string]*pair{},
	}
	e.workloads[name] = e.used.PushBack(w)
	return w
}

func (e *Estimator) evict(element *list.Element) {
	w := element.Value.(*workload)
	for _, p := range w.pairs {
		e.pairs.Remove(p.element)
	}
	delete(e.workloads, w.name)
	e.used.Remove(element)
}

// pairsOf returns the pair for each neighbour, nil for one that was there too briefly. The
// result is valid until the next call.
func (e *Estimator) pairsOf(w *workload, neighbours []Neighbour, now tmclock.Millis) []*pair {
	pairs := e.scratch[:0]
	for _, n := range neighbours {
		if !(n.Share >= minShare && n.Share <= 1) {
			pairs = append(pairs, nil)
			continue
		}
		p := e.pair(w, n.Workload, now)
		p.effect.decay(now)
		pairs = append(pairs, p)
	}
	e.scratch = pairs
	return pairs
}

// pair returns the effect of a workload on w, as the most recently observed one.
func (e *Estimator) pair(w *workload, beside string, now tmclock.Millis) *pair {
	if p := w.pairs[beside]; p != nil {
		e.pairs.MoveToBack(p.element)
		return p
	}
	if e.pairs.Len() >= MaxPairs {
		oldest := e.pairs.Front().Value.(*pair)
		delete(oldest.victim.pairs, oldest.beside)
		e.pairs.Remove(oldest.element)
	}
	p := &pair{victim: w, beside: beside, effect: figure{prior: effectVariance, at: now}}
	p.element = e.pairs.PushBack(p)
	w.pairs[beside] = p
	return p
}

// Size returns the number of workloads and of pairs that are kept.
func (e *Estimator) Size() (workloads, pairs int) { return len(e.workloads), e.pairs.Len() }

// Effect is the slowdown of a workload beside another one.
type Effect struct {
	Workload, Beside string
	// Slowdown is how many times as long a run takes beside the other workload.
	Slowdown float64
	// Runs is the number of runs beside it that the figure is based on, each weighted by
	// the share of its time and by its age.
	Runs float64
}

// Effects returns the effects that count at the time, the strongest first. It looks at each
// of the at most MaxPairs pairs.
func (e *Estimator) Effects(now tmclock.Millis) []Effect {
	var effects []Effect
	for element := e.pairs.Front(); element != nil; element = element.Next() {
		if p := element.Value.(*pair); p.counts(now) {
			effects = append(effects, Effect{Workload: p.victim.name, Beside: p.beside, Slowdown: math.Exp(p.effect.value), Runs: p.effect.count})
		}
	}
	slices.SortFunc(effects, compareEffects)
	return effects
}

// counts reports whether the effect is large and certain enough to act on.
func (p *pair) counts(now tmclock.Millis) bool {
	if p.effect.value < math.Log(MinSlowdown) {
		return false
	}
	p.effect.decay(now)
	p.victim.centre.decay(now)
	beside := p.effect.count
	return beside >= MinEvidence && p.victim.centre.count-beside >= MinEvidence &&
		p.effect.value >= minConfidence*math.Sqrt(p.effect.variance())
}
