package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"turmericmoor/core/tmevent"

	"github.com/spf13/cobra"

	"turmericmoor/core/tmclock"
	"turmericmoor/io/tmeventlog"
	"turmericmoor/io/tmguard"
	"turmericmoor/io/tmmetrics"
	"turmericmoor/io/tmnode"
	"turmericmoor/io/tmnodesettings"
	"turmericmoor/io/tmserve"
	"turmericmoor/platform"
)

// envConfigFile is the environment variable with the path of the settings file,
// used when --config is not given.
const envConfigFile = "TURMERICMOOR_BOOT"

const (
	// unreadyDelay is how long a stopping node continues to serve after it first
	// reports that it isn't ready: the load balancer checks readiness once a
	// second and removes the node after the second failed check.
	unreadyDelay = 2500 * time.Millisecond
	// exitReserve is the part of the time until SIGKILL that is reserved for
	// ending the process after the listeners have been closed.
	exitReserve     = 600 * time.Millisecond
	logFlushTimeout = 200 * time.Millisecond
	// settingsPollInterval is the interval at which the settings file is checked
	// for changes.
	settingsPollInterval = 2 * time.Second
	// maxConfigAgeRatio is the fraction of the time limit for key revocation after
	// which a node without contact to the store stops serving callers.
	maxConfigAgeRatio = 0.55
)

func newNodeCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "node [--config FILE]",
		Short: "Run a node on the users' platform until SIGTERM or SIGINT",
		Long: `node runs one process of the fleet manager on the users' platform. It writes its
decisions as JSON lines to the standard output. Without --config the path of the
settings file is taken from ` + envConfigFile + `.`,
		Example: "  turmericmoor node --config node.ini",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if path == "" {
				path = os.Getenv(envConfigFile)
			}
			if path == "" {
				return fmt.Errorf("%w: --config or %s is needed", errUsage, envConfigFile)
			}
			return runNode(path, cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&path, "config", "", "settings file in INI form")
	return cmd
}

// maxConfigAge returns how long ago the store may have confirmed the configuration
// for calls still to be served.
func maxConfigAge(s tmnodesettings.Settings) time.Duration {
	return time.Duration(float64(s.KeyWithdrawn()) * maxConfigAgeRatio)
}

func runNode(path string, out io.Writer) error {
	stops, hangups := notifyStop(), notifyHangup()
	settings, err := tmnodesettings.Load(path)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	events := tmeventlog.New(out, settings.Name())
	defer events.Close(logFlushTimeout)
	events.Note(tmevent.NodeStarts, "zone", settings.Zone(), "unknown_settings", settings.Unknown())
	opts := tmnode.Options{
		Name: settings.Name(), Clock: tmclock.NewSystem(), Bounds: settings.Bounds(), MaxConfigAge: maxConfigAge(settings),
		Resources: settings.Resources(), KeepOutcomes: settings.KeepOutcomes(),
	}
	// The metrics read the state of the node, and the node records events in the
	// metrics, so metrics is assigned before the node runs.
	var metrics *tmmetrics.Metrics
	opts.Emit = func(e tmevent.Event) {
		metrics.Event(e.Name)
		events.Note(e.Name, e.Fields...)
	}
	opts.Observe = func(call string, elapsed time.Duration, err error) { metrics.Observe(call, elapsed, err) }
	defer platform.Connect(settings, &opts)()
	guard := tmguard.New(settings.Limits(), reportClients(events))
	defer guard.Close()
	server := tmserve.New(reportListeners(events), guard)
	opts.Listening = func() bool { return server.IsOpen(settings.Callers()) }
	node := tmnode.New(opts)
	metrics = tmmetrics.New(node, events.Dropped, events.Written, guard)
	if err := serveNode(server, settings, node, metrics); err != nil {
		return err
	}
	nodeCtx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		node.Run(nodeCtx)
	}()
	reload := func(reason string) { reloadNode(path, reason, settings, node, events) }
	awaitShutdown(path, stops, hangups, reload)
	events.Note(tmevent.NodeStops)
	node.Leave()
	unready := min(unreadyDelay, settings.Shutdown()/2)
	time.Sleep(unready)
	err = server.Close(settings.Shutdown() - unready - exitReserve)
	stop()
	<-stopped
	return err
}

// awaitShutdown returns when stops receives a signal. Until then it calls reload when
// hangups does and when the settings file has changed.
func awaitShutdown(path string, stops, hangups <-chan os.Signal, reload func(reason string)) {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	changed := modTime(path)
	for {
		select {
		case <-stops:
			return
		case <-hangups:
			changed = modTime(path)
			reload("signal")
		case <-tick.C:
			if now := modTime(path); !now.Equal(changed) {
				changed = now
				reload("file changed")
			}
		}
	}
}

// modTime returns the modification time of a file, or the zero time if the file
// can't be accessed.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reloadNode reloads the settings. Bounds take effect at once, addresses need a
// restart. Invalid settings are logged and have no effect.
func reloadNode(path, reason string, old tmnodesettings.Settings, node *tmnode.Node, events *tmeventlog.Log) {
	settings, err := tmnodesettings.Load(path)
	if err != nil {
		events.Note(tmevent.SettingsChanged, "reason", reason, "applied", false, "cause", err.Error())
		return
	}
	node.Configure(settings.Bounds(), maxConfigAge(settings))
	events.Note(tmevent.SettingsChanged, "reason", reason, "applied", true, "restart_needed", !old.CanReload(settings))
}

// reportListeners logs which addresses of the node are taken by another process.
func reportListeners(events *tmeventlog.Log) tmserve.Reporter {
	return tmserve.Reporter{
		Waits: func(address string, waited time.Duration, cause error) {
			events.Note(tmevent.ListenerWaits, "address", address, "waited_ms", waited.Milliseconds(), "cause", cause.Error())
		},
		Opens: func(address string, waited time.Duration) {
			events.Note(tmevent.ListenerOpens, "address", address, "waited_ms", waited.Milliseconds())
		},
	}
}

// reportClients logs clients that exceed a limit.
func reportClients(events *tmeventlog.Log) tmguard.Report {
	return func(kind tmguard.Kind, client string, total int64) {
		events.Note(tmevent.ClientLimited, "kind", kind.String(), "client", client, "total", total)
	}
}

func serveNode(server *tmserve.Server, settings tmnodesettings.Settings, node *tmnode.Node, metrics *tmmetrics.Metrics) error {
	frontend := platform.NewFrontend(node, platform.JobLimits{Steps: settings.JobSteps(), Tasks: settings.JobTasks()})
	if err := server.Add(settings.Callers(), tmguard.Callers, frontend); err != nil {
		return err
	}
	if err := server.Add(settings.Health(), tmguard.Control, http.HandlerFunc(frontend.Ready)); err != nil {
		return err
	}
	if settings.Metrics() == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics.Handler())
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) { writeDump(w, node) })
	return server.Add(settings.Metrics(), tmguard.Control, mux)
}

func writeDump(w http.ResponseWriter, node *tmnode.Node) {
	dumps := node.Dumps()
	w.Header().Set("Content-Type", "application/json")
	// An error here means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(map[string]any{"owner": len(dumps) > 0, "shards": dumps})
}
