package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"
)

// postTimeout bounds a control call.
const postTimeout = 5 * time.Second

func postCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "post URL JSON",
		Short: "Send a control call to a stand-in, as scripts do",
		Example: `  tmstandin post http://127.0.0.1:8080/v1/control '{"down":true}'
  tmstandin post http://127.0.0.1:8080/v1/control/instances '{"name":"ep-1","zone":"a","rack":"r1","address":"127.0.0.1:9001","state":"live"}'`,
		Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), postTimeout)
			defer cancel()
			return post(ctx, args[0], args[1])
		},
	}
}

func post(ctx context.Context, url, body string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(body))
	if err != nil {
		return fmt.Errorf("tmstandin: post: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("tmstandin: post: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	if err != nil {
		return fmt.Errorf("tmstandin: post: %w", err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("tmstandin: post: status %d: %s", resp.StatusCode, answer)
	}
	return nil
}
