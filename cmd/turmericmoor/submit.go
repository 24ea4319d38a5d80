package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmrequest"
	"turmericmoor/io/tmcaller"
)

type submission struct {
	entry   string
	keyFile string
	body    string
	timeout time.Duration
	params  tmrequest.Params
}

func newSubmitCommand() *cobra.Command {
	var s submission
	cmd := &cobra.Command{
		Use:   "submit QUEUE",
		Short: "Submit one request to a queue and print its answer",
		Long: `submit sends one request through an entry and prints the answer. A request
without an answer prints its code and what is known about its run: not_run, ran
or unknown. A request that is not idempotent is safe to repeat when it has an id:
repeat it with the same --id, queue and --body within 10 minutes.`,
		Example: `  turmericmoor submit scans --entry http://127.0.0.1:8400 --key-file crews.key --body '{"step":7}'`,
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s.params.Queue = args[0]
			return s.run(cmd.Context(), cmd.InOrStdin(), cmd.OutOrStdout())
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&s.entry, "entry", os.Getenv("TURMERICMOOR_ENTRY"), "URL of the caller listener of any entry [$TURMERICMOOR_ENTRY]")
	flags.StringVar(&s.keyFile, "key-file", os.Getenv("TURMERICMOOR_KEY_FILE"), "file with a key of the team, none for open queues [$TURMERICMOOR_KEY_FILE]")
	flags.StringVar(&s.body, "body", "", "body of the request; - reads the standard input")
	flags.StringVar(&s.params.ID, "id", "", "request id (a UUID of version 7) under which the request may be repeated")
	flags.BoolVar(&s.params.Idempotent, "idempotent", false, "the request may run more than once")
	flags.BoolVar(&s.params.Urgent, "urgent", false, "the request goes ahead of others; only for teams with urgent work")
	flags.BoolVar(&s.params.Preemptible, "preemptible", false, "the task may be checkpointed for others")
	flags.IntVar(&s.params.Size, "size", 0, "declared size in cores")
	flags.DurationVar(&s.timeout, "timeout", 30*time.Second, "time after which the answer is no longer wanted, at most 5m")
	return cmd
}

func (s *submission) run(ctx context.Context, in io.Reader, out io.Writer) error {
	if s.entry == "" {
		return fmt.Errorf("%w: no entry URL, expected --entry or $TURMERICMOOR_ENTRY", errUsage)
	}
	key, err := readKeyFile(s.keyFile)
	if err != nil {
		return err
	}
	s.params.Body = []byte(s.body)
	if s.body == "-" {
		if s.params.Body, err = io.ReadAll(io.LimitReader(in, tmrequest.MaxBodyBytes+1)); err != nil {
			return fmt.Errorf("read the body: %w", err)
		}
	}
	s.params.CallerChoseID = s.params.ID != ""
	s.params.Timeout = tmclock.SpanOf(s.timeout)
	client := tmcaller.NewClient(s.entry)
	defer client.Close()
	if ctx == nil {
		ctx = context.Background()
	}
	answer, err := client.Submit(ctx, key, tmrequest.New(s.params))
	var requestErr *tmrequest.Error
	if errors.As(err, &requestErr) {
		return fmt.Errorf("%s (%s): %s", requestErr.Code(), requestErr.Outcome(), requestErr.Message())
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, strings.TrimRight(string(answer.Body()), "\n"))
	return err
}

func readKeyFile(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("read the key: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}
