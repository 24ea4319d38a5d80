package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"

	"turmericmoor/io/tmdaemon"
	"turmericmoor/io/tmsettings"
)

func newEntryCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "entry --config FILE",
		Short: "Run an entry until SIGTERM or SIGINT",
		Long: `entry runs one entry process. It logs JSON lines to the standard error. SIGTERM
and SIGINT shut it down gracefully: requests under way are answered first.`,
		Example: "  turmericmoor entry --config entry.ini",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runEntry(cmd.Context(), path, cmd.ErrOrStderr())
		},
	}
	cmd.Flags().StringVar(&path, "config", "", "settings file in INI form")
	markRequired(cmd, "config")
	return cmd
}

func runEntry(ctx context.Context, path string, errOut io.Writer) error {
	settings, err := tmsettings.Load(path)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	logger := log.NewWithOptions(errOut, log.Options{
		Level:           settings.LogLevel(),
		Formatter:       log.JSONFormatter,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
	})
	if ctx == nil {
		ctx = context.Background()
	}
	stops := notifyStop()
	daemon, err := tmdaemon.Start(settings, logger)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-stops:
	}
	return daemon.Close()
}
