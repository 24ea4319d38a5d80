package tmrecord

import (
	"encoding/json"
	"errors"
	"fmt"

	"turmericmoor/core/tmadmit"
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmquota"
	"turmericmoor/core/tmshard"
)

// ErrUnreadable is wrapped by every error of a decoder.
var ErrUnreadable = errors.New("tmrecord: can't decode row")

func decode(what string, data []byte, dst any) error {
	if err := json.Unmarshal(data, dst); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrUnreadable, what, err)
	}
	return nil
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		// The row types hold only strings, numbers, booleans, and slices and maps of them.
		panic("tmrecord: " + err.Error())
	}
	return data
}

type stepRow struct {
	Count          int    `json:"n"`
	CPU            int64  `json:"c,omitempty"`
	Mem            int64  `json:"m,omitempty"`
	GPU            int64  `json:"g,omitempty"`
	Estimate       int64  `json:"e,omitempty"`
	After          []int  `json:"a,omitempty"`
	Checkpoint     bool   `json:"ck,omitempty"`
	Gang           bool   `json:"ga,omitempty"`
	SameRack       bool   `json:"sr,omitempty"`
	Label          string `json:"l,omitempty"`
	DataRack       string `json:"dr,omitempty"`
	PerEndpoint    int    `json:"pe,omitempty"`
	Speculative    bool   `json:"sp,omitempty"`
	LongRunning    bool   `json:"lr,omitempty"`
	Image          string `json:"i,omitempty"`
	LatencyTarget  int64  `json:"t,omitempty"`
	BestEffort     bool   `json:"f,omitempty"`
	MaxUnavailable int    `json:"mm,omitempty"`
}

type jobRow struct {
	Queue    string    `json:"q"`
	Team     string    `json:"t,omitempty"`
	Spec     string    `json:"s,omitempty"`
	Steps    []stepRow `json:"st"`
	Repeats  int       `json:"r,omitempty"`
	StartAt  int64     `json:"sa,omitempty"`
	Accepted int64     `json:"ac"`
	Interval int64     `json:"iv,omitempty"`
}

// EncodeJob encodes the row of a live job.
func EncodeJob(j tmjob.Job) []byte {
	row := jobRow{
		Queue: j.Queue, Team: j.Team, Spec: j.Spec, Repeats: j.Repeats,
		StartAt: j.StartAt, Accepted: j.Accepted, Interval: int64(j.Interval),
	}
	for _, s := range j.Steps {
		row.Steps = append(row.Steps, stepRow{
			Count: s.Count, CPU: s.Size.CPU, Mem: s.Size.Mem, GPU: s.Size.GPU,
			Estimate: int64(s.Estimate), After: s.After, Checkpoint: s.Checkpoint,
			Gang: s.Gang, SameRack: s.SameRack, Label: s.Label, DataRack: s.DataRack,
			PerEndpoint: s.PerEndpoint, Speculative: s.Speculative,
			LongRunning: s.LongRunning, Image: s.Image, LatencyTarget: int64(s.LatencyTarget),
			BestEffort: s.BestEffort, MaxUnavailable: s.MaxUnavailable,
		})
	}
	return encode(row)
}

// DecodeJob decodes the row of a live job.
func DecodeJob(id string, data []byte) (tmjob.Job, error) {
	var row jobRow
	if err := decode("job "+id, data, &row); err != nil {
		return tmjob.Job{}, err
	}
	j := tmjob.Job{
		ID: id, Queue: row.Queue, Team: row.Team, Spec: row.Spec, Repeats: row.Repeats,
		StartAt: row.StartAt, Accepted: row.Accepted, Interval: tmclock.Span(row.Interval),
	}
	for _, s := range row.Steps {
		j.Steps = append(j.Steps, tmjob.Step{
			Count: s.Count, Size: tmjob.Resources{CPU: s.CPU, Mem: s.Mem, GPU: s.GPU},
			Estimate: tmclock.Span(s.Estimate), After: s.After, Checkpoint: s.Checkpoint,
			Gang: s.Gang, SameRack: s.SameRack, Label: s.Label, DataRack: s.DataRack,
			PerEndpoint: s.PerEndpoint, Speculative: s.Speculative,
			LongRunning: s.LongRunning, Image: s.Image, LatencyTarget: tmclock.Span(s.LatencyTarget),
			BestEffort: s.BestEffort, MaxUnavailable: s.MaxUnavailable,
		})
	}
	if err := j.Check(); err != nil {
		return tmjob.Job{}, fmt.Errorf("%w: job %s: %w", ErrUnreadable, id, err)
	}
	return j, nil
}

// placementRow is a run that may still be active, with the endpoint that it was
// started on.
type placementRow struct {
	Run           int    `json:"r"`
	Endpoint      string `json:"e"`
	EndpointStart int64  `json:"b,omitempty"`
	Isolated      bool   `json:"q,omitempty"`
	Lapsed        bool   `json:"l,omitempty"`
}

type taskRow struct {
	Occurrence int            `json:"k,omitempty"`
	Step       int            `json:"s,omitempty"`
	Index      int            `json:"i,omitempty"`
	Runs       int            `json:"n,omitempty"`
	Failures   int            `json:"f,omitempty"`
	Crashes    int            `json:"x,omitempty"`
	Suspicions int            `json:"y,omitempty"`
	Done       bool           `json:"d,omitempty"`
	Begun      bool           `json:"b,omitempty"`
	Checkpoint string         `json:"c,omitempty"`
	Placements []placementRow `json:"p,omitempty"`
}

type progressRow struct {
	Tasks []taskRow `json:"t"`
	// Done has the first and the last occurrence of each range.
	Done [][2]int `json:"d,omitempty"`
}

// EncodeProgress encodes the row of a page of the progress of a job. It has at most
// p.Size() bytes.
func EncodeProgress(p tmjob.Progress) []byte {
	var row progressRow
	for _, r := range p.Done {
		row.Done = append(row.Done, [2]int{r.First, r.Last})
	}
	for _, t := range p.Tasks {
		tr := taskRow{
			Occurrence: t.Occurrence, Step: t.Step, Index: t.Index, Runs: t.Runs,
			Failures: t.Failures, Crashes: t.Crashes, Suspicions: t.Suspicions, Done: t.Done, Begun: t.Begun, Checkpoint: t.Checkpoint,
		}
		for _, place := range t.Placements {
			tr.Placements = append(tr.Placements, placementRow(place))
		}
		row.Tasks = append(row.Tasks, tr)
	}
	return encode(row)
}

// DecodeProgress decodes the row of a page of the progress of a job. Earlier versions stored
// that an occurrence is done as a task of step -1.
func DecodeProgress(id string, data []byte) (tmjob.Progress, error) {
	var row progressRow
	if err := decode("progress of job "+id, data, &row); err != nil {
		return tmjob.Progress{}, err
	}
	p := tmjob.Progress{ID: id}
	for _, r := range row.Done {
		p.Done = append(p.Done, tmjob.OccurrenceRange{First: r[0], Last: r[1]})
	}
	for _, t := range row.Tasks {
		if t.Occurrence < 0 || t.Index < 0 || t.Runs < 0 {
			return tmjob.Progress{}, fmt.Errorf("%w: progress of job %s: negative number in %+v", ErrUnreadable, id, t)
		}
		if t.Step < 0 {
			p.Done = append(p.Done, tmjob.OccurrenceRange{First: t.Occurrence, Last: t.Occurrence})
			continue
		}
		rec := tmjob.TaskRecord{
			Occurrence: t.Occurrence, Step: t.Step, Index: t.Index, Runs: t.Runs,
			Failures: t.Failures, Crashes: t.Crashes, Suspicions: t.Suspicions, Done: t.Done, Begun: t.Begun, Checkpoint: t.Checkpoint,
		}
		for _, place := range t.Placements {
			rec.Placements = append(rec.Placements, tmjob.Placement(place))
		}
		p.Tasks = append(p.Tasks, rec)
	}
	return p, nil
}

// Outcome is the final state of a job.
type Outcome struct {
	State       tmjob.State
	Queue, Team string
	// At is when the job became final, in milliseconds since the Unix epoch.
	At int64
}

type outcomeRow struct {
	State string `json:"s"`
	Queue string `json:"q"`
	Team  string `json:"t,omitempty"`
	At    int64  `json:"at"`
}

// EncodeOutcome encodes the row of an outcome.
func EncodeOutcome(o Outcome) []byte {
	return encode(outcomeRow{State: o.State.String(), Queue: o.Queue, Team: o.Team, At: o.At})
}

// DecodeOutcome decodes the row of an outcome.
func DecodeOutcome(data []byte) (Outcome, error) {
	var row outcomeRow
	if err := decode("outcome", data, &row); err != nil {
		return Outcome{}, err
	}
	state, ok := tmjob.ParseState(row.State)
	if !ok || !state.Final() {
		return Outcome{}, fmt.Errorf("%w: outcome %q, expected a final state", ErrUnreadable, row.State)
	}
	return Outcome{State: state, Queue: row.Queue, Team: row.Team, At: row.At}, nil
}

// Owner is the row that says which node owns a shard.
type Owner struct {
	// Holder is the name of that node, or "" after it has resigned.
	Holder string
	// Token is the fencing token. It rises with every change of owner.
	Token int64
	// Renewals counts the renewals by the holder. Cores is the number of processor
	// cores that the holder may use.
	Renewals int64
	Cores    float64
	// Waiting is the number of jobs by queue that have not started. It is complete if
	// WaitingKnown is set, which means that the owner has read all jobs.
	Waiting      map[string]int
	WaitingKnown bool
	// Backlogs holds, by queue, what a new job would have to wait for. A row lists at most 64
	// queues, those with the longest waits.
	Backlogs map[string]tmadmit.Backlog
}

type ownerRow struct {
	Holder       string         `json:"h,omitempty"`
	Token        int64          `json:"t"`
	Renewals     int64          `json:"b"`
	Cores        float64        `json:"p,omitempty"`
	Waiting      map[string]int `json:"w,omitempty"`
	WaitingKnown bool           `json:"c,omitempty"`
	// Backlogs is decoded on its own, so that nonsense in it leaves the rest readable.
	Backlogs json.RawMessage `json:"k,omitempty"`
}

// EncodeOwner encodes the row of the owner.
func EncodeOwner(o Owner) []byte {
	return encode(ownerRow{
		Holder: o.Holder, Token: o.Token, Renewals: o.Renewals, Cores: o.Cores,
		Waiting: o.Waiting, WaitingKnown: o.WaitingKnown, Backlogs: encodeBacklogs(o.Backlogs),
	})
}

// DecodeOwner decodes the row of the owner.
func DecodeOwner(data []byte) (Owner, error) {
	var row ownerRow
	if err := decode("owner", data, &row); err != nil {
		return Owner{}, err
	}
	return Owner{
		Holder: row.Holder, Token: row.Token, Renewals: row.Renewals, Cores: row.Cores,
		Waiting: row.Waiting, WaitingKnown: row.WaitingKnown, Backlogs: decodeBacklogs(row.Backlogs),
	}, nil
}

// Guard is the row that fences the writes of earlier owners: every flush of the owner
// writes it, on condition that it still has the version of the flush before. A flush
// that is applied late, or that comes from a deposed owner, therefore fails. Token is
// the fencing token of the owner and Flush the number of the flush.
type Guard struct {
	Token, Flush int64
}

type guardRow struct {
	Token int64 `json:"t"`
	Flush int64 `json:"f"`
}

// EncodeGuard encodes the guard row.
func EncodeGuard(g Guard) []byte { return encode(guardRow(g)) }

// DecodeGuard decodes the guard row.
func DecodeGuard(data []byte) (Guard, error) {
	var row guardRow
	if err := decode("guard", data, &row); err != nil {
		return Guard{}, err
	}
	return Guard(row), nil
}

// Wave is the progress of a maintenance wave.
type Wave struct {
	// Done lists the instances that need no more maintenance orders in this wave.
	Done      []string
	Completed bool
	// Token is the fencing token of the owner that wrote the row.
	Token int64
}

type waveRow struct {
	Done      []string `json:"d"`
	Completed bool     `json:"c"`
	Token     int64    `json:"t,omitempty"`
}

// EncodeWave encodes the row of the progress of a wave.
func EncodeWave(w Wave) []byte { return encode(waveRow(w)) }

// DecodeWave decodes the row of the progress of a wave.
func DecodeWave(data []byte) (Wave, error) {
	var row waveRow
	if err := decode("wave", data, &row); err != nil {
		return Wave{}, err
	}
	return Wave(row), nil
}

// Orders are the recent orders about instances: all instances, and those whose maintenance may
// begin by an order that has no answer.
type Orders struct{ Instances, Maintenance []string }

// ordersRow is the row of the recent orders. Earlier versions stored no list of those for
// maintenance.
type ordersRow struct {
	Instances   []string  `json:"i"`
	Maintenance *[]string `json:"m,omitempty"`
}

// EncodeOrders encodes the row of the recent orders about instances.
func EncodeOrders(o Orders) []byte {
	return encode(ordersRow{Instances: o.Instances, Maintenance: &o.Maintenance})
}

// DecodeOrders decodes the row of the recent orders about instances. In a row of an earlier
// version each may be for maintenance.
func DecodeOrders(data []byte) (Orders, error) {
	var row ordersRow
	if err := decode("orders", data, &row); err != nil {
		return Orders{}, err
	}
	o := Orders{Instances: row.Instances, Maintenance: row.Instances}
	if row.Maintenance != nil {
		o.Maintenance = *row.Maintenance
	}
	return o, nil
}

// Node is what a node publishes about itself.
type Node struct {
	// Cores is the number of processor cores that the node may use.
	Cores float64
	// Capacity is how many instances the node can own.
	Capacity int
}

type nodeRow struct {
	Cores    float64 `json:"c"`
	Capacity int     `json:"n,omitempty"`
}

// EncodeNode encodes the row of a node.
func EncodeNode(n Node) []byte { return encode(nodeRow(n)) }

// DecodeNode decodes the row of a node.
func DecodeNode(data []byte) (Node, error) {
	var row nodeRow
	if err := decode("node", data, &row); err != nil {
		return Node{}, err
	}
	return Node(row), nil
}

type layoutRow struct {
	Shards int `json:"n"`
}

// EncodeLayout encodes the row with the number of shards.
func EncodeLayout(shards int) []byte { return encode(layoutRow{Shards: shards}) }

// DecodeLayout decodes the row with the number of shards.
func DecodeLayout(data []byte) (int, error) {
	var row layoutRow
	if err := decode("layout", data, &row); err != nil {
		return 0, err
	}
	if row.Shards < 1 || row.Shards > tmshard.MaxCount {
		return 0, fmt.Errorf("%w: layout: %d shards, expected 1 to %d", ErrUnreadable, row.Shards, tmshard.MaxCount)
	}
	return row.Shards, nil
}

// amountRow is an amount of resources: processor, memory, accelerators.
type amountRow [3]int64

func amountOf(r tmjob.Resources) amountRow { return amountRow{r.CPU, r.Mem, r.GPU} }

func (a amountRow) resources() tmjob.Resources {
	return tmjob.Resources{CPU: a[0], Mem: a[1], GPU: a[2]}
}

type quotaRow struct {
	Limit  amountRow         `json:"l"`
	Given  map[int]amountRow `json:"g,omitempty"`
	Excess amountRow         `json:"x"`
	Need   amountRow         `json:"n"`
	Since  int64             `json:"s,omitempty"`
}

// EncodeQuota encodes the row with a shard's part of the limit of a team.
func EncodeQuota(r tmquota.Row) []byte {
	row := quotaRow{Limit: amountOf(r.Limit), Excess: amountOf(r.Excess), Need: amountOf(r.Need), Since: r.Since}
	if len(r.Given) > 0 {
		row.Given = map[int]amountRow{}
	}
	for shard, given := range r.Given {
		row.Given[shard] = amountOf(given)
	}
	return encode(row)
}

// DecodeQuota decodes the row with a shard's part of the limit of a team.
func DecodeQuota(team string, data []byte) (tmquota.Row, error) {
	var row quotaRow
	if err := decode("quota of team "+team, data, &row); err != nil {
		return tmquota.Row{}, err
	}
	r := tmquota.Row{
		Team: team, Limit: row.Limit.resources(), Given: map[int]tmjob.Resources{},
		Excess: row.Excess.resources(), Need: row.Need.resources(), Since: row.Since,
	}
	for shard, given := range row.Given {
		r.Given[shard] = given.resources()
	}
	return r, nil
}
