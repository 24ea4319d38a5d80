package tmmetrics

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"turmericmoor/core/tmcontrol"
	"turmericmoor/core/tmorder"
	"turmericmoor/core/tmstraggler"
)

// stateCollector exports the state of the owner at the time of the scrape.
type stateCollector struct {
	node                                                                    Source
	ready, owner, ownedShards                                               *prometheus.Desc
	token, rulesVersion, openJobs, startWindow                              *prometheus.Desc
	waitingJobs, orderedJobs, teamShare, endpoints, runs, teamCPU, waveOpen *prometheus.Desc
	suspects, slowdown, changedPlacements                                   *prometheus.Desc
	predictedWait, waitingWork                                              *prometheus.Desc
}

func newStateCollector(node Source) *stateCollector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(namespace+"_"+name, help, labels, nil)
	}
	return &stateCollector{
		node:         node,
		ready:        desc("ready", "1 when the node takes calls."),
		owner:        desc("owner", "1 when the node owns a shard of the fleet."),
		ownedShards:  desc("owned_shards", "Number of shards of the fleet that the node owns."),
		token:        desc("fencing_token", "Fencing token of the owner.", "shard"),
		rulesVersion: desc("rules_version", "Version of the configuration in force for the owner.", "shard"),
		openJobs:     desc("open_jobs", "Jobs that are not final.", "shard"),
		startWindow:  desc("start_window", "Limit of start orders without an answer.", "shard"),
		waitingJobs:  desc("waiting_jobs", "Jobs of which no task has started.", "queue", "shard"),
		orderedJobs:  desc("ordered_jobs", "Waiting jobs by pool and class in the last planning pass.", "pool", "class", "shard"),
		teamShare:    desc("team_share_used", "What a team uses of a full pool, as a multiple of its share.", "pool", "team", "shard"),
		endpoints:    desc("endpoints", "Endpoints by pool and whether they answer.", "pool", "answers", "shard"),
		suspects:     desc("suspected_endpoints", "Endpoints that are avoided on suspicion or on trial, by pool and cause.", "pool", "cause", "shard"),
		runs:         desc("runs", "Runs by pool.", "pool", "shard"),
		teamCPU:      desc("team_cpu_cores", "Processor share that a team has running.", "team", "shard"),
		slowdown:     desc("interference_slowdown", "How many times as long tasks of a workload take beside another, where placements consider it.", "workload", "beside", "shard"),
		changedPlacements: desc("interference_changed_placements_total",
			"Placements that were changed because of interference since the owner took over.", "shard"),
		predictedWait: desc("predicted_wait_seconds", "How long a new job would wait, for queues whose backlog is reported to the nodes.", "queue", "shard"),
		waitingWork:   desc("waiting_work_core_seconds", "Work that a new job would wait for, for the same queues.", "queue", "shard"),
		waveOpen:      desc("wave_open_instances", "Instances of a wave that are not done.", "wave", "shard"),
	}
}

// Describe implements prometheus.Collector.
func (s *stateCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		s.ready, s.owner, s.ownedShards, s.token, s.rulesVersion, s.openJobs, s.startWindow, s.waitingJobs, s.orderedJobs, s.teamShare, s.endpoints, s.runs, s.teamCPU, s.waveOpen,
		s.suspects, s.slowdown, s.changedPlacements, s.predictedWait, s.waitingWork,
	} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (s *stateCollector) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	flag := map[bool]float64{true: 1}
	dumps := s.node.Dumps()
	gauge(s.ready, flag[s.node.Ready()])
	gauge(s.owner, flag[len(dumps) > 0])
	gauge(s.ownedShards, float64(len(dumps)))
	for shard, dump := range dumps {
		collectShard(s, dump, func(d *prometheus.Desc, v float64, labels ...string) {
			gauge(d, v, append(labels, strconv.Itoa(shard))...)
		})
		ch <- prometheus.MustNewConstMetric(s.changedPlacements, prometheus.CounterValue, float64(dump.Interference.Changed), strconv.Itoa(shard))
	}
}

// collectShard exports the state of the owner of one shard.
func collectShard(s *stateCollector, dump tmcontrol.Dump, gauge func(d *prometheus.Desc, v float64, labels ...string)) {
	gauge(s.token, float64(dump.Token))
	gauge(s.rulesVersion, float64(dump.Rules))
	gauge(s.openJobs, float64(dump.Jobs))
	gauge(s.startWindow, float64(dump.StartWindow))
	for queue, n := range dump.Waiting {
		gauge(s.waitingJobs, float64(n), queue)
	}
	for queue, b := range dump.Backlogs {
		gauge(s.predictedWait, b.Wait/1000, queue)
		gauge(s.waitingWork, b.Work/1000, queue)
	}
	for pool, p := range dump.Pools {
		gauge(s.endpoints, float64(p.Answering), pool, "yes")
		gauge(s.endpoints, float64(p.Silent), pool, "no")
		gauge(s.runs, float64(p.Runs), pool)
		for _, cause := range tmstraggler.Causes {
			gauge(s.suspects, float64(p.Suspects[cause]), pool, string(cause))
		}
		for _, t := range p.Shares {
			gauge(s.teamShare, t.Used/max(t.Part, 1e-6), pool, t.Team)
		}
		for class, n := range p.Ordered {
			gauge(s.orderedJobs, float64(n), pool, tmorder.Class(class).String())
		}
	}
	for team, used := range dump.Teams {
		gauge(s.teamCPU, float64(used.CPU)/1000, team)
	}
	for _, e := range dump.Interference.Effects {
		gauge(s.slowdown, e.Slowdown, e.Workload, e.Beside)
	}
	for _, w := range dump.Waves {
		gauge(s.waveOpen, float64(w.Total-w.Done), w.Name)
	}
}
