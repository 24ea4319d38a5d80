// Command tmstandin runs the stand-ins for the platform and for endpoints. It
// prints one JSON line with its addresses when it listens, and stops on
// SIGTERM or SIGINT.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"turmericmoor/core/tmclock"
	"turmericmoor/internal/standin/tmfakeendpoint"
	"turmericmoor/internal/standin/tmfakeplatform"
)

// endpointConnections is how many connections an endpoint takes at a time.
const endpointConnections = 64

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := rootCommand().ExecuteContext(ctx)
	cancel()
	if err != nil {
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:          "tmstandin",
		Short:        "Run a stand-in for the platform or for endpoints",
		SilenceUsage: true,
	}
	root.AddCommand(platformCommand(), endpointCommand(), postCommand())
	return root
}

func platformCommand() *cobra.Command {
	var (
		listen string
		opts   tmfakeplatform.Options
		lag    time.Duration
	)
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run a table service, an object store and a list of instances",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			platform := tmfakeplatform.New(opts)
			platform.SetControl(tmfakeplatform.Control{ListLagMs: lag.Milliseconds()})
			listener, err := listenLimited(listen, 0)
			if err != nil {
				return err
			}
			return serve(cmd.Context(), cmd.OutOrStdout(), []service{{listener, platform, platform.Close}})
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:0", "IP and port to listen on")
	flags.IntVar(&opts.WritesPerSecond, "writes", tmfakeplatform.DefaultWritesPerSecond, "writes per second")
	flags.IntVar(&opts.ReadsPerSecond, "reads", tmfakeplatform.DefaultReadsPerSecond, "reads per second")
	flags.DurationVar(&lag, "list-lag", 0, "lag of the list of instances")
	return cmd
}

type endpointFlags struct {
	listen      string
	count       int
	connections int
	rebootTime  time.Duration
	usageLag    time.Duration
	opts        tmfakeendpoint.Options
}

func endpointCommand() *cobra.Command {
	var f endpointFlags
	cmd := &cobra.Command{
		Use:   "endpoint",
		Short: "Run endpoints that share their checkpoints",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			services, err := f.services()
			if err != nil {
				return err
			}
			return serve(cmd.Context(), cmd.OutOrStdout(), services)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&f.listen, "listen", "127.0.0.1:0", "IP and port of the first endpoint; more follow on the next ports, or on any when it is 0")
	flags.IntVar(&f.count, "count", 1, "number of endpoints")
	flags.IntVar(&f.connections, "connections", endpointConnections, "connections that each endpoint takes at a time")
	flags.StringVar(&f.opts.Name, "name", "endpoint", "name in the journal; more than one get -1, -2 and so on")
	flags.StringVar(&f.opts.Zone, "zone", "", "availability zone in the journal")
	flags.IntVar(&f.opts.Slots, "slots", tmfakeendpoint.DefaultSlots, "slots of each endpoint")
	flags.Float64Var(&f.opts.Cores, "cores", tmfakeendpoint.DefaultCores, "largest declared size that can run")
	flags.DurationVar(&f.rebootTime, "reboot-time", tmfakeendpoint.DefaultRebootTime.Duration(), "time that a reboot takes")
	flags.DurationVar(&f.usageLag, "usage-lag", tmfakeendpoint.DefaultUsageLag.Duration(), "lag of the usage report")
	return cmd
}

func (f endpointFlags) services() ([]service, error) {
	if f.count < 1 {
		return nil, fmt.Errorf("tmstandin: --count %d, expected at least 1", f.count)
	}
	// All addresses are checked before the first one is listened on.
	if _, err := nthAddress(f.listen, f.count-1); err != nil {
		return nil, err
	}
	opts := f.opts
	opts.RebootTime = tmclock.SpanOf(f.rebootTime)
	opts.UsageLag = tmclock.SpanOf(f.usageLag)
	opts.Checkpoints = tmfakeendpoint.NewCheckpoints()
	var services []service
	for i := range f.count {
		address, err := nthAddress(f.listen, i)
		if err != nil {
			return nil, err
		}
		listener, err := listenLimited(address, f.connections)
		if err != nil {
			return nil, err
		}
		if f.count > 1 {
			opts.Name = fmt.Sprintf("%s-%d", f.opts.Name, i+1)
		}
		endpoint := tmfakeendpoint.New(opts)
		services = append(services, service{listener, http.Handler(endpoint), endpoint.Close})
	}
	return services, nil
}
