package tmquestion

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmfleet"
)

// minExactShare is the smallest share that is always rounded to a whole number
// without first scaling up the shares of all teams. Rounding a smaller share can
// change the entitlement by more than 5%, the target for how closely a team gets
// its share.
const minExactShare = 10

// Explanation lists the reasons for each part of a generated configuration.
type Explanation struct {
	reasons []Reason
}

// Reason explains one part of a generated configuration.
type Reason struct {
	// Topic names the part, for example "share".
	Topic string
	Text  string
}

// Reasons returns the reasons in the order of the changes that they explain. The
// caller must not modify the slice.
func (e Explanation) Reasons() []Reason { return e.reasons }

// String returns the reasons, one per line.
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

// KeyLabel returns the label of the key that a holder of the team gets.
func KeyLabel(team, holder string) string {
	return team + "-" + holder
}

// Generate returns the changes that add the team to the configuration, and an
// explanation of them. The changes grant no keys, because keys are random; the
// caller grants one to each of the KeyHolders. It returns an *InvalidError when
// the answers conflict with the configuration.
func Generate(a Answers, c tmfleet.Config) ([]tmchange.Change, Explanation, error) {
	g := generator{answers: a, config: c}
	g.checkTeam()
	newQueues := g.collectPools()
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
		return nil, Explanation{}, invalidError(err)
	}
	return g.changes, g.explanation, nil
}

func invalidError(err error) error {
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
	answers     Answers
	config      tmfleet.Config
	pools       []string
	changes     []tmchange.Change
	explanation Explanation
	problems    []Problem
}

func (g *generator) reject(field, expected, format string, args ...any) {
	g.problems = append(g.problems, Problem{Field: field, Message: fmt.Sprintf(format, args...), Expected: expected})
}

func (g *generator) checkTeam() {
	name := g.answers.Team()
	if g.config.Teams().Has(name) {
		g.reject(KeyTeam, "a name that no team has", "team %q exists already", name)
	}
	if slots := fleetSlots(g.config); g.answers.LargestTasks() > slots {
		g.reject(KeyLargestTasks, fmt.Sprintf("1 to %d", slots), "is %d, above the %d slots of the fleet", g.answers.LargestTasks(), slots)
	}
}

// collectPools adds the pools that serve the team's queues to g.pools and returns
// the names of the queues that don't exist yet.
func (g *generator) collectPools() []string {
	var missing []string
	for _, name := range g.answers.Queues() {
		queue, ok := g.config.Queues().Get(name)
		if !ok {
			missing = append(missing, name)
			continue
		}
		g.addPool(queue.Pool())
	}
	if len(missing) > 0 {
		g.choosePool(missing)
	} else if pool := g.answers.Pool(); pool != "" && !g.config.Pools().Has(pool) {
		g.rejectPool(pool)
	}
	return missing
}

func (g *generator) choosePool(queues []string) {
	names := g.config.Pools().Keys()
	pool := g.answers.Pool()
	switch {
	case pool != "" && g.config.Pools().Has(pool):
		g.addPool(pool)
	case pool != "":
		g.rejectPool(pool)
	case len(names) == 1:
		g.answers = g.answers.withValue(KeyPool, names[0])
		g.addPool(names[0])
	default:
		g.reject(KeyPool, g.poolNames(), "is needed for the new queues %s", strings.Join(queues, ", "))
	}
}

func (g *generator) rejectPool(pool string) {
	g.reject(KeyPool, g.poolNames(), "unknown pool %q", pool)
}

func (g *generator) poolNames() string {
	names := g.config.Pools().Keys()
	if len(names) == 0 {
		return "an existing pool, there is none yet"
	}
	return "one of " + strings.Join(names, ", ")
}

func (g *generator) addPool(pool string) {
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
			g.reject(KeyKeyHolders, "a holder without a key", "key %q exists already", label)
		}
		if !tmchange.ValidName(label) {
			g.reject(KeyKeyHolders, "a shorter name of the team or the holder", "%q is too long for a label", label)
		}
	}
}

func (g *generator) addTeam() {
	share, factor := g.share()
	if factor > 1 {
		for name, team := range g.config.Teams().All() {
			g.changes = append(g.changes, tmchange.SetShare{Team: name, Share: team.Share() * factor})
		}
		g.explanation.add("share", "all current shares are multiplied by %d, which keeps their ratios and makes the new share a whole number", factor)
	}
	g.changes = append(g.changes, tmchange.AddTeam{
		Name:   g.answers.Team(),
		Share:  share,
		Limit:  g.answers.LargestTasks(),
		Urgent: g.answers.Urgent(),
	})
	sum := shareSum(g.config)*factor + share
	g.explanation.add("share", "%d of a total of %d, derived from the usual %d tasks at a time; on a full fleet this is about %d of %d slots",
		share, sum, g.answers.UsualTasks(), fleetSlots(g.config)*share/sum, fleetSlots(g.config))
	g.explanation.add("limit", "%d tasks at a time in the whole fleet, the largest number of tasks given", g.answers.LargestTasks())
}

// share returns the share of the new team and the factor by which to multiply the
// current shares. It derives the share per task from the assumption that, on a
// full fleet, the current teams run as many tasks as their limits and the slots
// of the fleet permit. The share of the first team is its usual number of tasks.
func (g *generator) share() (share, factor int) {
	usual := g.answers.UsualTasks()
	sum := shareSum(g.config)
	if sum == 0 {
		return min(usual, tmchange.MaxShare), 1
	}
	assumedTasks := min(fleetSlots(g.config), limitSum(g.config))
	exactShare := float64(usual) * float64(sum) / float64(max(assumedTasks, 1))
	factor = g.scaleFactor(exactShare)
	return min(max(int(math.Round(exactShare*float64(factor))), 1), tmchange.MaxShare), factor
}

// scaleFactor returns the factor by which to multiply all shares so that the new
// share can be rounded accurately. No scaled share exceeds tmchange.MaxShare.
func (g *generator) scaleFactor(exactShare float64) int {
	if exactShare >= minExactShare || math.Abs(exactShare-math.Round(exactShare)) < exactShare*0.05 {
		return 1
	}
	largest := 1
	for _, t := range g.config.Teams().All() {
		largest = max(largest, t.Share())
	}
	wanted := math.Ceil(minExactShare / exactShare)
	return max(int(min(wanted, float64(tmchange.MaxShare/largest))), 1)
}

func (g *generator) addQueues(names []string) {
	for _, name := range names {
		queue := tmchange.AddQueue{Name: name, Pool: g.answers.Pool(), Open: g.answers.Open()}
		if queue.Open {
			queue.Team = g.answers.Team()
		}
		g.changes = append(g.changes, queue)
		g.explanation.add("queue", "%s is new and served by pool %s", name, queue.Pool)
	}
}

func (g *generator) lowerBudgets() {
	wanted := g.answers.MaxUnavailable()
	for _, name := range g.pools {
		pool, _ := g.config.Pools().Get(name)
		current := pool.Budget().MaxUnavailable()
		if wanted == 0 || wanted >= current {
			g.explanation.add("budget", "pool %s keeps its budget of %d unavailable instances", name, current)
			continue
		}
		g.changes = append(g.changes, tmchange.SetBudget{Pool: name, MaxUnavailable: wanted})
		g.explanation.add("budget", "the budget of pool %s is lowered from %d to %d unavailable instances, because each team must get the availability that it asked for", name, current, wanted)
	}
}

func (g *generator) explainHeaders() {
	g.explanation.add("callers", "send Tm-Timeout-Ms: %d and Tm-Idempotent: %t", g.answers.Deadline().Milliseconds(), g.answers.Repeatable())
	if g.answers.Urgent() {
		g.explanation.add("callers", "may send Tm-Urgent: true")
	}
	for _, holder := range g.answers.KeyHolders() {
		g.explanation.add("key", "%s gets a key with the label %s", holder, KeyLabel(g.answers.Team(), holder))
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
