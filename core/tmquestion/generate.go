package tmquestion

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmfleet"
)

// minExactShare is the smallest share that is kept without scaling the shares
// of the other teams up. Below it rounding to a whole number would move the
// entitlement by more than 5%, which is the target for being close to a share.
const minExactShare = 10

// Explanation says why each part of a generated configuration is as it is.
type Explanation struct {
	reasons []Reason
}

// Reason explains one part of a generated configuration.
type Reason struct {
	// Topic is the part, for example "share".
	Topic string
	Text  string
}

// Reasons returns the reasons in the order of the changes. The caller must not
// modify the slice.
func (e Explanation) Reasons() []Reason { return e.reasons }

// String returns one line for each reason.
func (e Explanation) String() string {
	var b strings.Builder
	for _, r := range e.reasons {
		fmt.Fprintf(&b, "%s: %s\n", r.Topic, r.Text)
	}
	return b.String()
}

func (e *Explanation) add(topic, format string, args ...any) {
	e.reasons = append(e.reasons, Reason{Topic: topic, Text: fmt.Sprintf(format, args...)})
}

// KeyLabel returns the label of the key that a holder gets.
func KeyLabel(team, holder string) string {
	return team + "-" + holder
}

// Generate returns the changes that add the team to the configuration, and an
// explanation. Keys are random and so are not among the changes; the caller
// grants one for each of the KeyHolders. It returns an *InvalidError when the
// answers don't fit the configuration.
func Generate(a Answers, c tmfleet.Config) ([]tmchange.Change, Explanation, error) {
	g := generator{answers: a, config: c}
	g.checkTeam()
	newQueues := g.findPools()
	g.checkKeys()
	if len(g.problems) > 0 {
		return nil, Explanation{}, &InvalidError{Problems: g.problems}
	}
	g.addTeam()
	g.addQueues(newQueues)
	g.lowerBudgets()
	g.explainHeaders()
	state := tmfleet.State{}.Next("", c)
	if _, err := tmchange.Apply(state, tmchange.AllLive, g.changes); err != nil {
		return nil, Explanation{}, asInvalid(err)
	}
	return g.changes, g.why, nil
}

func asInvalid(err error) error {
	var invalid *tmchange.InvalidError
	if !errors.As(err, &invalid) {
		return fmt.Errorf("tmquestion: %w", err)
	}
	problems := make([]Problem, 0, len(invalid.Problems))
	for _, p := range invalid.Problems {
		problems = append(problems, Problem{Field: p.Field, Message: p.Message, Expected: p.Expected})
	}
	return &InvalidError{Problems: problems}
}

type generator struct {
	answers  Answers
	config   tmfleet.Config
	pools    []string
	changes  []tmchange.Change
	why      Explanation
	problems []Problem
}

func (g *generator) problem(field, expected, format string, args ...any) {
	g.problems = append(g.problems, Problem{Field: field, Message: fmt.Sprintf(format, args...), Expected: expected})
}

func (g *generator) checkTeam() {
	name := g.answers.Team()
	if g.config.Teams().Has(name) {
		g.problem(KeyTeam, "a name that no team has", "team %q exists already", name)
	}
	if slots := fleetSlots(g.config); g.answers.Largest() > slots {
		g.problem(KeyLargest, fmt.Sprintf("1 to %d", slots), "is %d, above the %d slots of the fleet", g.answers.Largest(), slots)
	}
}

// findPools collects the pools that the team uses and returns the names of the
// queues that don't exist yet.
func (g *generator) findPools() []string {
	var missing []string
	for _, name := range g.answers.Queues() {
		queue, ok := g.config.Queues().Get(name)
		if !ok {
			missing = append(missing, name)
			continue
		}
		g.usePool(queue.Pool())
	}
	if len(missing) > 0 {
		g.findNewPool(missing)
	} else if pool := g.answers.Pool(); pool != "" && !g.config.Pools().Has(pool) {
		g.unknownPool(pool)
	}
	return missing
}

func (g *generator) findNewPool(queues []string) {
	names := g.config.Pools().Keys()
	pool := g.answers.Pool()
	switch {
	case pool != "" && g.config.Pools().Has(pool):
		g.usePool(pool)
	case pool != "":
		g.unknownPool(pool)
	case len(names) == 1:
		g.answers = g.answers.with(KeyPool, names[0])
		g.usePool(names[0])
	default:
		g.problem(KeyPool, g.poolNames(), "is needed for the new queues %s", strings.Join(queues, ", "))
	}
}

func (g *generator) unknownPool(pool string) {
	g.problem(KeyPool, g.poolNames(), "unknown pool %q", pool)
}

func (g *generator) poolNames() string {
	names := g.config.Pools().Keys()
	if len(names) == 0 {
		return "an existing pool, there is none yet"
	}
	return "one of " + strings.Join(names, ", ")
}

func (g *generator) usePool(pool string) {
	for _, p := range g.pools {
		if p == pool {
			return
		}
	}
	g.pools = append(g.pools, pool)
}

func (g *generator) checkKeys() {
	taken := make(map[string]bool, g.config.Keys().Len())
	for _, k := range g.config.Keys().All() {
		taken[k.Label()] = true
	}
	for _, holder := range g.answers.KeyHolders() {
		label := KeyLabel(g.answers.Team(), holder)
		if taken[label] {
			g.problem(KeyKeyHolders, "a holder without a key", "key %q exists already", label)
		}
		if !tmchange.ValidName(label) {
			g.problem(KeyKeyHolders, "a shorter name of the team or the holder", "%q is too long for a label", label)
		}
	}
}

func (g *generator) addTeam() {
	share, factor := g.share()
	if factor > 1 {
		for name, team := range g.config.Teams().All() {
			g.changes = append(g.changes, tmchange.SetShare{Team: name, Share: team.Share() * factor})
		}
		g.why.add("share", "all present shares are multiplied by %d, which keeps their ratios and lets the new share be a whole number", factor)
	}
	g.changes = append(g.changes, tmchange.AddTeam{
		Name:   g.answers.Team(),
		Share:  share,
		Limit:  g.answers.Largest(),
		Urgent: g.answers.Urgent(),
	})
	sum := shareSum(g.config)*factor + share
	g.why.add("share", "%d of %d in all, from usually %d tasks at a time; on a full fleet this is about %d of %d slots",
		share, sum, g.answers.Usual(), fleetSlots(g.config)*share/sum, fleetSlots(g.config))
	g.why.add("limit", "%d tasks at a time over the whole fleet, the largest number given", g.answers.Largest())
}

// share returns the share of the new team and the factor for the present
// shares. The present teams are taken to run as many tasks as their limits and
// the fleet permit when all is full, which gives the share per task. The first
// team's share is its usual number of tasks.
func (g *generator) share() (share, factor int) {
	usual := g.answers.Usual()
	sum := shareSum(g.config)
	if sum == 0 {
		return min(usual, tmchange.MaxShare), 1
	}
	running := min(fleetSlots(g.config), limitSum(g.config))
	exact := float64(usual) * float64(sum) / float64(max(running, 1))
	factor = g.factor(exact)
	return min(max(int(math.Round(exact*float64(factor))), 1), tmchange.MaxShare), factor
}

// factor returns by how much to multiply all shares so that the exact share
// can be rounded, within the greatest permitted share.
func (g *generator) factor(exact float64) int {
	if exact >= minExactShare || math.Abs(exact-math.Round(exact)) < exact*0.05 {
		return 1
	}
	largest := 1
	for _, t := range g.config.Teams().All() {
		largest = max(largest, t.Share())
	}
	wanted := math.Ceil(minExactShare / exact)
	return max(int(min(wanted, float64(tmchange.MaxShare/largest))), 1)
}

func (g *generator) addQueues(names []string) {
	for _, name := range names {
		queue := tmchange.AddQueue{Name: name, Pool: g.answers.Pool(), Open: g.answers.Open()}
		if queue.Open {
			queue.Team = g.answers.Team()
		}
		g.changes = append(g.changes, queue)
		g.why.add("queue", "%s is new and served by pool %s", name, queue.Pool)
	}
}

func (g *generator) lowerBudgets() {
	wanted := g.answers.MaxUnavailable()
	for _, name := range g.pools {
		pool, _ := g.config.Pools().Get(name)
		present := pool.Budget().MaxUnavailable()
		if wanted == 0 || wanted >= present {
			g.why.add("budget", "pool %s keeps its budget of %d unavailable instances", name, present)
			continue
		}
		g.changes = append(g.changes, tmchange.SetBudget{Pool: name, MaxUnavailable: wanted})
		g.why.add("budget", "pool %s is lowered from %d to %d unavailable instances, because no team may get less than it asked for", name, present, wanted)
	}
}

func (g *generator) explainHeaders() {
	g.why.add("callers", "send Tm-Timeout-Ms: %d and Tm-Idempotent: %t", g.answers.Deadline().Milliseconds(), g.answers.Repeatable())
	if g.answers.Urgent() {
		g.why.add("callers", "may send Tm-Urgent: true")
	}
	for _, holder := range g.answers.KeyHolders() {
		g.why.add("key", "%s gets a key with the label %s", holder, KeyLabel(g.answers.Team(), holder))
	}
}

func fleetSlots(c tmfleet.Config) int {
	sum := 0
	for _, in := range c.Instances().All() {
		sum += in.Slots()
	}
	return sum
}

func shareSum(c tmfleet.Config) int {
	sum := 0
	for _, t := range c.Teams().All() {
		sum += t.Share()
	}
	return sum
}

func limitSum(c tmfleet.Config) int {
	sum := 0
	for _, t := range c.Teams().All() {
		sum += t.Limit()
	}
	return sum
}
