// Package tmfleet defines the domain types: what operators configure
// (availability zones, pools, queues, teams, keys, instances) and the versioned
// State that all entries agree on. An entry is a process that accepts requests
// from callers and sends them to endpoints. All types are immutable values and
// safe for concurrent use. They have no struct tags; codecs convert them
// explicitly.
package tmfleet

// Config is the configuration set by operators. Its tables are keyed by name,
// except the keys, which are keyed by their hash.
type Config struct {
	zones     Table[string, Zone]
	pools     Table[string, Pool]
	queues    Table[string, Queue]
	teams     Table[string, Team]
	keys      Table[string, Key]
	instances Table[string, Instance]
}

// Zones returns the availability zones by name.
func (c Config) Zones() Table[string, Zone] { return c.zones }

// Pools returns the pools by name.
func (c Config) Pools() Table[string, Pool] { return c.pools }

// Queues returns the queues by name.
func (c Config) Queues() Table[string, Queue] { return c.queues }

// Teams returns the teams by name.
func (c Config) Teams() Table[string, Team] { return c.teams }

// Keys returns the granted keys by the hex form of their SHA-256 hash.
func (c Config) Keys() Table[string, Key] { return c.keys }

// Instances returns the instances by name.
func (c Config) Instances() Table[string, Instance] { return c.instances }

// WithZones returns a copy of c that has t as its zones.
func (c Config) WithZones(t Table[string, Zone]) Config {
	c.zones = t
	return c
}

// WithPools returns a copy of c that has t as its pools.
func (c Config) WithPools(t Table[string, Pool]) Config {
	c.pools = t
	return c
}

// WithQueues returns a copy of c that has t as its queues.
func (c Config) WithQueues(t Table[string, Queue]) Config {
	c.queues = t
	return c
}

// WithTeams returns a copy of c that has t as its teams.
func (c Config) WithTeams(t Table[string, Team]) Config {
	c.teams = t
	return c
}

// WithKeys returns a copy of c that has t as its keys.
func (c Config) WithKeys(t Table[string, Key]) Config {
	c.keys = t
	return c
}

// WithInstances returns a copy of c that has t as its instances.
func (c Config) WithInstances(t Table[string, Instance]) Config {
	c.instances = t
	return c
}

// Usable reports whether the configuration permits starting tasks on the
// instance: its duty is Serving, it isn't being moved to another pool, and its
// availability zone is in service.
func (c Config) Usable(in Instance) bool {
	zone, ok := c.zones.Get(in.Zone())
	if !ok || zone.OutOfService() {
		return false
	}
	return in.Duty() == Serving && in.MoveTo() == ""
}

// Zone is an availability zone.
type Zone struct {
	name         string
	region       string
	outOfService bool
}

// NewZone returns a Zone in the given region. Instances of a zone that is out
// of service get no new tasks.
func NewZone(name, region string, outOfService bool) Zone {
	return Zone{name: name, region: region, outOfService: outOfService}
}

// Name returns the unique name.
func (z Zone) Name() string { return z.name }

// Region returns the region of the zone.
func (z Zone) Region() string { return z.region }

// OutOfService reports whether operators have taken the zone out of service.
func (z Zone) OutOfService() bool { return z.outOfService }

// WithOutOfService returns a copy of z that is out of service or in service.
func (z Zone) WithOutOfService(outOfService bool) Zone {
	z.outOfService = outOfService
	return z
}

// Pool is a group of instances that serve the same queues.
type Pool struct {
	name   string
	budget Budget
}

// NewPool returns a Pool with an availability budget.
func NewPool(name string, budget Budget) Pool {
	return Pool{name: name, budget: budget}
}

// Name returns the unique name.
func (p Pool) Name() string { return p.name }

// Budget returns the availability budget.
func (p Pool) Budget() Budget { return p.budget }

// Budget is the availability budget of a pool: how many of its instances may be
// unavailable at the same time.
type Budget struct {
	maxUnavailable int
}

// NewBudget returns a Budget of maxUnavailable instances.
func NewBudget(maxUnavailable int) Budget {
	return Budget{maxUnavailable: maxUnavailable}
}

// MaxUnavailable returns the number of instances that may be unavailable.
func (b Budget) MaxUnavailable() int { return b.maxUnavailable }

// Queue is the destination of callers' requests. It is served by one pool.
type Queue struct {
	name string
	pool string
	open bool
	team string
}

// NewQueue returns a Queue that only accepts requests with a key.
func NewQueue(name, pool string) Queue {
	return Queue{name: name, pool: pool}
}

// NewOpenQueue returns a Queue that accepts requests without a key. Its tasks
// count towards the given team.
func NewOpenQueue(name, pool, team string) Queue {
	return Queue{name: name, pool: pool, open: true, team: team}
}

// Name returns the unique name.
func (q Queue) Name() string { return q.name }

// Pool returns the name of the pool that serves the queue.
func (q Queue) Pool() string { return q.pool }

// Open reports whether the queue accepts requests without a key.
func (q Queue) Open() bool { return q.open }

// Team returns the team towards which the tasks of an open queue count. It is
// empty when the queue isn't open.
func (q Queue) Team() string { return q.team }

// Team is a group of callers with a share of the capacity and an upper limit.
type Team struct {
	name   string
	share  int
	limit  int
	urgent bool

	limitVersion uint64
}

// NewTeam returns a Team. The share is a weight relative to other teams. The
// limit is the number of tasks that the team may run at the same time in the
// whole fleet. Only teams with urgent set may mark requests as urgent.
func NewTeam(name string, share, limit int, urgent bool) Team {
	return Team{name: name, share: share, limit: limit, urgent: urgent}
}

// Name returns the unique name.
func (t Team) Name() string { return t.name }

// Share returns the weight of the team when the capacity is exhausted.
func (t Team) Share() int { return t.share }

// Limit returns how many tasks the team may run at the same time.
func (t Team) Limit() int { return t.limit }

// Urgent reports whether the team may mark requests as urgent.
func (t Team) Urgent() bool { return t.urgent }

// LimitVersion returns the version of the State that last changed the limit. A
// slice, the part of the limit that one entry holds, is not used if it was
// recorded for an older version.
func (t Team) LimitVersion() uint64 { return t.limitVersion }

// WithShare returns a copy of t with another share.
func (t Team) WithShare(share int) Team {
	t.share = share
	return t
}

// WithLimit returns a copy of t with another limit. The caller has to call
// WithLimitVersion on the result.
func (t Team) WithLimit(limit int) Team {
	t.limit = limit
	return t
}

// WithLimitVersion returns a copy of t whose limit was set by the given
// version of the State.
func (t Team) WithLimitVersion(version uint64) Team {
	t.limitVersion = version
	return t
}

// Key is a granted API key. Only its hash is stored, never the key itself.
type Key struct {
	hash  string
	team  string
	label string
}

// NewKey returns a Key that permits its holder to submit requests for team. The
// hash is the SHA-256 of the key in lower-case hex.
func NewKey(hash, team, label string) Key {
	return Key{hash: hash, team: team, label: label}
}

// Hash returns the SHA-256 of the key in lower-case hex.
func (k Key) Hash() string { return k.hash }

// Team returns the team that the key was granted to.
func (k Key) Team() string { return k.team }

// Label returns the label by which operators identify and withdraw the key.
func (k Key) Label() string { return k.label }
