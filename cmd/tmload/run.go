package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"turmericmoor/internal/judge"
	"turmericmoor/internal/load"
)

type runFlags struct {
	file     string
	entries  []string
	streams  []string
	duration time.Duration
	seed     uint64
	open     int
	conns    int
	report   string
	journal  string
}

func newRunCommand() *cobra.Command {
	var f runFlags
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Send a load and write a report and a journal",
		Long: `run sends the streams of a load file or of flags. Flags go before the file. The
seed fixes arrival times, run times and the choice of entries.`,
		Example: `  tmload run --load crews.ini --report report.json --journal journal.jsonl
  tmload run --entry http://127.0.0.1:8400 --duration 10s \
    --stream name=scans,team=crews,key_file=crews.key,queue=scans,rate=20,run=exp:100ms`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return f.run(cmd)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&f.file, "load", "", "load file in INI form with [load] and [stream NAME]")
	flags.StringSliceVar(&f.entries, "entry", nil, "URL of an entry's listener for callers; may be repeated")
	flags.StringArrayVar(&f.streams, "stream", nil, "stream as key=value,...; may be repeated")
	flags.DurationVar(&f.duration, "duration", 0, "time in which requests are sent")
	flags.Uint64Var(&f.seed, "seed", 0, "seed of the random numbers (default: a new one, which the report names)")
	flags.IntVar(&f.open, "open", 0, fmt.Sprintf("most requests under way (default %d)", load.DefaultMaxOpenRequests))
	flags.IntVar(&f.conns, "conns", 0, fmt.Sprintf("most connections to one entry (default %d)", load.DefaultMaxConnsPerEntry))
	flags.StringVar(&f.report, "report", "-", "file of the report; - is the standard output")
	flags.StringVar(&f.journal, "journal", "", "file of the journal of submissions (default: none)")
	return cmd
}

func (f *runFlags) plan() (load.Plan, error) {
	var plan load.Plan
	var err error
	if f.file != "" {
		if plan, err = readPlan(f.file); err != nil {
			return load.Plan{}, err
		}
	}
	for _, text := range f.streams {
		stream, err := parseStream(text)
		if err != nil {
			return load.Plan{}, err
		}
		plan.Streams = append(plan.Streams, stream)
	}
	if len(f.entries) > 0 {
		plan.Entries = f.entries
	}
	if f.duration > 0 {
		plan.Duration = f.duration
	}
	if f.seed != 0 {
		plan.Seed = f.seed
	}
	if plan.Seed == 0 {
		plan.Seed = uint64(time.Now().UnixNano())
	}
	if f.open > 0 {
		plan.MaxOpenRequests = f.open
	}
	if f.conns > 0 {
		plan.MaxConnsPerEntry = f.conns
	}
	return plan, plan.Check()
}

func (f *runFlags) run(cmd *cobra.Command) error {
	plan, err := f.plan()
	if err != nil {
		return err
	}
	journal, err := createJournal(f.journal)
	if err != nil {
		return err
	}
	report, err := load.Run(cmd.Context(), plan, journal.write)
	if err := errors.Join(err, journal.close()); err != nil {
		return err
	}
	return writeReport(f.report, cmd.OutOrStdout(), report)
}

// journal writes one Submission in JSON on each line.
type journal struct {
	file    *os.File
	buffer  *bufio.Writer
	encoder *json.Encoder
	err     error
}

func createJournal(path string) (*journal, error) {
	if path == "" {
		return &journal{}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	buffer := bufio.NewWriter(file)
	return &journal{file: file, buffer: buffer, encoder: json.NewEncoder(buffer)}, nil
}

func (j *journal) write(s judge.Submission) {
	if j.file != nil && j.err == nil {
		j.err = j.encoder.Encode(s)
	}
}

func (j *journal) close() error {
	if j.file == nil {
		return nil
	}
	if err := errors.Join(j.err, j.buffer.Flush(), j.file.Close()); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

func writeReport(path string, out io.Writer, report *load.Report) error {
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	data = append(data, '\n')
	if path == "-" {
		_, err = out.Write(data)
		return err
	}
	if err := os.WriteFile(path, data, 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}
