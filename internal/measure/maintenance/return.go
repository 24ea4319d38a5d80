package maintenance

import (
	"fmt"
	"math"
	"math/rand/v2"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmmove"
)

const (
	holidayFrom   = 7 * 86400
	holidayReturn = 16 * 86400
	holidayEnd    = holidayReturn + 7200
	// startupSeconds is how long an instance takes to be on.
	startupSeconds = 600
	// poolTotal instances with 8 slots each; the usual peak needs usualPeak.
	poolTotal = 12
	slots     = 8
	usualPeak = 8.0
	// taskSeconds is the mean run time.
	taskSeconds = 4.0
	urgentPart  = 0.1
	// surgeSeconds is the time after the return in which urgent work is judged.
	surgeSeconds = 900
)

// scenario is when demand returns, in seconds before the announced time.
type scenario struct {
	name  string
	early func(rng *rand.Rand) int
}

var scenarios = []scenario{
	{"within 2 h before the announced time", func(rng *rand.Rand) int { return rng.IntN(7200) }},
	{"8 to 30 h before the announced time", func(rng *rand.Rand) int { return 8*3600 + rng.IntN(22*3600) }},
}

// demandAt returns the demand in instances at second t. It returns within two
// minutes to one and a half times the usual demand of the hour, at least half
// of the usual peak.
func demandAt(t, back int) float64 {
	hour := float64(t%86400) / 3600
	usual := usualPeak * (0.65 - 0.35*math.Cos((hour-2)/24*2*math.Pi))
	switch {
	case t < holidayFrom:
		return usual
	case t < back:
		return 0.08 * usual
	default:
		rise := min(1, float64(t-back)/120)
		return 0.08*usual + rise*1.42*max(usual, usualPeak/2)
	}
}

// queueSim starts urgent work first on slots that become free.
type queueSim struct {
	rng                  *rand.Rand
	running              int
	urgent, other        int
	urgentAll, urgentLat int
}

// second runs one second with the given capacity and demand.
func (q *queueSim) second(on int, demand float64) {
	ended := 0
	for range q.running {
		if q.rng.Float64() < 1/taskSeconds {
			ended++
		}
	}
	q.running -= ended
	rate := demand * slots / taskSeconds
	arrived := q.poisson(rate * urgentPart)
	q.urgentAll += arrived
	q.urgent += arrived
	// Work that is not urgent is refused once 30 s of it wait.
	q.other = min(q.other+q.poisson(rate*(1-urgentPart)), int(30*rate)+1)
	free := max(on*slots-q.running, 0)
	start := min(free, q.urgent)
	q.urgent -= start
	// Older urgent work starts first, so what arrived now waits first.
	q.urgentLat += min(arrived, q.urgent)
	free -= start
	rest := min(free, q.other)
	q.other -= rest
	q.running += start + rest
}

func (q *queueSim) poisson(mean float64) int {
	n := 0
	for t := q.rng.ExpFloat64(); t < mean; t += q.rng.ExpFloat64() {
		n++
	}
	return n
}

// returnResult is one holiday with one Provisioner.
type returnResult struct {
	bufferHours float64
	urgentLate  float64
}

func measureReturn(p tmmove.Provisioner, sc scenario, seed uint64) returnResult {
	rng := rand.New(rand.NewPCG(seed, 7))
	back := holidayReturn - sc.early(rng)
	q := &queueSim{rng: rng}
	on, want := poolTotal, poolTotal
	var starts []int
	buffer := 0.0
	var quiet, surge queueSim
	for t := range holidayEnd {
		demand := demandAt(t, back)
		for len(starts) > 0 && starts[0] <= t {
			starts = starts[1:]
			on++
		}
		if t%10 == 0 {
			want = p.DesiredInstances(tmmove.Observation{
				Wall: tmclock.Millis(t) * 1000, Demand: demand, UrgentDemand: demand * urgentPart,
				On: on, Total: poolTotal,
			})
		}
		for on+len(starts) < want {
			starts = append(starts, t+startupSeconds)
		}
		on = max(min(on, want), 1)
		if t < holidayFrom {
			continue
		}
		// An instance that starts costs as much as one that is on.
		buffer += max(float64(on+len(starts))-min(demand, poolTotal), 0) / 3600
		// A quiet holiday is sampled, one minute of ten.
		if t > back-3600 || t/60%10 == 0 {
			q.second(on, demand)
		}
		if t == back {
			quiet = *q
		}
		if t == back+surgeSeconds {
			surge.urgentAll = q.urgentAll - quiet.urgentAll
			surge.urgentLat = q.urgentLat - quiet.urgentLat
		}
	}
	return returnResult{bufferHours: buffer, urgentLate: float64(surge.urgentLat) / float64(max(surge.urgentAll, 1))}
}

// returnTable compares three Provisioners. Targets: 40% cheaper than keeping
// all on, and at most 0.1% of the urgent work starts after more than 1 s.
func returnTable(w *page, seeds []uint64) {
	w.line("return: buffer in worker-hours (target 40%% below keep all) and part of urgent work that waits over 1 s in the 15 minutes after the return (target 0.001)")
	w.line("demand returns\tpolicy\tbuffer: median\tworst\tcheaper than keep all: median\tworst\turgent late: median\tworst")
	calendar, err := tmmove.NewCalendar(tmmove.Holiday{
		From: holidayFrom * 1000, Return: holidayReturn * 1000, MaxEarly: 2 * tmclock.Hour,
	})
	if err != nil {
		panic(fmt.Sprintf("maintenance: calendar: %v", err))
	}
	policies := []struct {
		name string
		make func() tmmove.Provisioner
	}{
		{"keep all", func() tmmove.Provisioner { return tmmove.StaticProvisioner{} }},
		{"react only", func() tmmove.Provisioner { return &tmmove.ReactiveProvisioner{} }},
		{"ahead", func() tmmove.Provisioner {
			return tmmove.NewScheduledProvisioner(calendar, startupSeconds*tmclock.Second)
		}},
	}
	for _, sc := range scenarios {
		all := map[uint64]float64{}
		for _, policy := range policies {
			var buffer, cheaper, late series
			results := perSeed(seeds, func(seed uint64) returnResult {
				return measureReturn(policy.make(), sc, seed)
			})
			for i, r := range results {
				seed := seeds[i]
				if policy.name == "keep all" {
					all[seed] = r.bufferHours
				}
				buffer = append(buffer, r.bufferHours)
				cheaper = append(cheaper, 1-r.bufferHours/all[seed])
				late = append(late, r.urgentLate)
			}
			w.line("%s\t%s\t%.0f\t%.0f\t%.0f%%\t%.0f%%\t%.4f\t%.4f", sc.name, policy.name, buffer.median(),
				buffer.max(), 100*cheaper.median(), 100*cheaper.min(), late.median(), late.max())
		}
	}
}
