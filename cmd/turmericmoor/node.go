package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"turmericmoor/core/tmevent"

	"github.com/cespare/xxhash/v2"
	"github.com/spf13/cobra"

	"turmericmoor/core/tmclock"
	"turmericmoor/io/tmeventlog"
	"turmericmoor/io/tmmetrics"
	"turmericmoor/io/tmnode"
	"turmericmoor/io/tmnodesettings"
	"turmericmoor/io/tmserve"
	"turmericmoor/platform"
)

// bootVariable holds the path of the settings file where --config is not given.
const bootVariable = "TURMERICMOOR_BOOT"

const (
	// unreadyTime is how long a leaving node still serves after it has reported
	// that it isn't ready: the balancer asks once a second and goes by the
	// second refusal.
	unreadyTime = 2500 * time.Millisecond
	// closeMargin is kept back from the time until SIGKILL for the end of the
	// process.
	closeMargin = 600 * time.Millisecond
	logTime     = 200 * time.Millisecond
	// settingsEvery is the time between two looks at the settings file.
	settingsEvery = 2 * time.Second
	// keyAgeShare is the part of the bound for withdrawn keys after which a node
	// that hears nothing from the store stops serving callers.
	keyAgeShare = 0.55
)

func newNodeCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "node [--config FILE]",
		Short: "Run a node on the users' platform until SIGTERM or SIGINT",
		Long: `node runs one process of the fleet manager on the users' platform. It writes its
decisions as JSON lines to the standard output. Without --config the path of the
settings file is taken from ` + bootVariable + `.`,
		Example: "  turmericmoor node --config node.ini",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if path == "" {
				path = os.Getenv(bootVariable)
			}
			if path == "" {
				return fmt.Errorf("%w: --config or %s is needed", errUsage, bootVariable)
			}
			return runNode(path, cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&path, "config", "", "settings file in INI form")
	return cmd
}

// keyAge returns how old the configuration may be for calls to be served.
func keyAge(s tmnodesettings.Settings) time.Duration {
	return time.Duration(float64(s.KeyWithdrawn()) * keyAgeShare)
}

func runNode(path string, out io.Writer) error {
	// Signals are taken until the end: one that arrives during the shutdown must not
	// end the process at once.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	settings, err := tmnodesettings.Load(path)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	events := tmeventlog.New(out, settings.Name())
	defer events.Close(logTime)
	events.Note(tmevent.NodeStarts, "zone", settings.Zone(), "unknown_settings", settings.Unknown())
	opts := tmnode.Options{
		Name: settings.Name(), Clock: tmclock.NewSystem(), Bounds: settings.Bounds(), MaxConfigAge: keyAge(settings),
		Cores: settings.Cores(), KeepOutcomes: settings.KeepOutcomes(),
		Stagger: float64(xxhash.Sum64String(settings.Name())%1000) / 1000,
	}
	// The metrics show the node and the node counts in them, so they are set
	// before the node runs.
	var metrics *tmmetrics.Metrics
	opts.Emit = func(e tmevent.Event) {
		metrics.Event(e.Name)
		events.Note(e.Name, e.Fields...)
	}
	opts.Observe = func(call string, took time.Duration, err error) { metrics.Observe(call, took, err) }
	defer platform.Connect(settings, &opts)()
	node := tmnode.New(opts)
	metrics = tmmetrics.New(node, events.Dropped, events.Written)
	server, err := serveNode(settings, node, metrics)
	if err != nil {
		return err
	}
	nodeCtx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		node.Run(nodeCtx)
	}()
	reload := func(reason string) { reloadNode(path, reason, settings, node, events) }
	awaitEnd(path, signals, reload)
	events.Note(tmevent.NodeStops)
	node.Leave()
	unready := min(unreadyTime, settings.Shutdown()/2)
	time.Sleep(unready)
	err = server.Close(settings.Shutdown() - unready - closeMargin)
	stop()
	<-stopped
	return err
}

// awaitEnd returns when the process is told to end. Until then it calls reload
// on SIGHUP and when the settings file has changed.
func awaitEnd(path string, signals <-chan os.Signal, reload func(reason string)) {
	tick := time.NewTicker(settingsEvery)
	defer tick.Stop()
	changed := changeTime(path)
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return
			}
			changed = changeTime(path)
			reload("signal")
		case <-tick.C:
			if now := changeTime(path); !now.Equal(changed) {
				changed = now
				reload("file changed")
			}
		}
	}
}

// changeTime returns when a file was last written, or the zero time while it
// can't be seen.
func changeTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reloadNode reads the settings again. Bounds take effect at once; addresses need
// a restart. Settings that are wrong change nothing.
func reloadNode(path, reason string, old tmnodesettings.Settings, node *tmnode.Node, events *tmeventlog.Log) {
	settings, err := tmnodesettings.Load(path)
	if err != nil {
		events.Note(tmevent.SettingsChanged, "reason", reason, "applied", false, "cause", err.Error())
		return
	}
	node.Configure(settings.Bounds(), keyAge(settings))
	events.Note(tmevent.SettingsChanged, "reason", reason, "applied", true, "restart_needed", !old.CanReload(settings))
}

func serveNode(settings tmnodesettings.Settings, node *tmnode.Node, metrics *tmmetrics.Metrics) (*tmserve.Server, error) {
	server := &tmserve.Server{}
	front := platform.NewFrontend(node)
	if err := server.Add(settings.Callers(), front); err != nil {
		return nil, err
	}
	if err := server.Add(settings.Health(), http.HandlerFunc(front.Ready)); err != nil {
		return nil, err
	}
	if settings.Metrics() == "" {
		return server, nil
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics.Handler())
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) { writeDump(w, node) })
	return server, server.Add(settings.Metrics(), mux)
}

func writeDump(w http.ResponseWriter, node *tmnode.Node) {
	dump, owner := node.Dump()
	w.Header().Set("Content-Type", "application/json")
	// An error here means that the reader has gone.
	_ = json.NewEncoder(w).Encode(map[string]any{"owner": owner, "state": dump})
}
