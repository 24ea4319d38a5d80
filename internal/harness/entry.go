package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"turmericmoor/core/tmrequest"
	"turmericmoor/io/tmoperator"
)

// callTimeout is the timeout of one operator request. An entry responds to a
// change within 8 s.
const callTimeout = 15 * time.Second

// Entry is an entry process of a Fleet and its addresses.
type Entry struct {
	Name string
	Zone string
	// URL is the base URL of the listener for callers, OperatorURL that of the
	// listener for operators.
	URL, OperatorURL string
	// PeerAddress is the IP:port of the listener for other entries.
	PeerAddress string

	settings string
	process  *Process
}

// Process returns the most recently started process of the entry, or nil if it
// was never started.
func (e *Entry) Process() *Process { return e.process }

// addEntry allocates the ports of an entry and writes its settings file.
func (f *Fleet) addEntry(number int) (*Entry, error) {
	first, err := f.ports.Take(3)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		Name:        "entry-" + strconv.Itoa(number),
		Zone:        f.layout.Zones[(number-1)%len(f.layout.Zones)],
		URL:         "http://" + f.ports.Address(first),
		OperatorURL: "http://" + f.ports.Address(first+1),
		PeerAddress: f.ports.Address(first + 2),
	}
	e.settings = filepath.Join(f.dir, e.Name+".ini")
	advertise, platformURL := e.PeerAddress, f.platformURL
	if f.layout.CountBytes {
		var tables string
		if advertise, tables, err = f.addRelays(e.PeerAddress); err != nil {
			return nil, err
		}
		platformURL = "http://" + tables
	}
	text := fmt.Sprintf(`[entry]
name = %s
zone = %s
log_level = %s
[callers]
listen = %s
[operators]
listen = %s
operator_key_hash = %s
[peers]
listen = %s
advertise = %s
secret_file = peer.secret
[platform]
url = %s
`, e.Name, e.Zone, f.layout.LogLevel, f.ports.Address(first), f.ports.Address(first+1),
		tmrequest.HashKey(f.operatorKey), e.PeerAddress, advertise, platformURL)
	if f.layout.MaxQueuedRequests > 0 {
		text += fmt.Sprintf("[queue]\nmax_requests = %d\n", f.layout.MaxQueuedRequests)
	}
	for _, line := range f.layout.Settings {
		text += line + "\n"
	}
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("harness: settings of %s: %w", e.Name, err)
	}
	return e, nil
}

// Entries returns all entries. The caller must not modify the slice.
func (f *Fleet) Entries() []*Entry { return f.entries }

// URLs returns the caller URLs of all entries.
func (f *Fleet) URLs() []string {
	var list []string
	for _, e := range f.entries {
		list = append(list, e.URL)
	}
	return list
}

// startEntry starts the process of an entry, replacing one that has exited.
func (f *Fleet) startEntry(e *Entry) error {
	path, err := binaryPath("turmericmoor")
	if err != nil {
		return err
	}
	p, err := startProcess(program{
		name:    e.Name,
		logFile: f.LogFile(e.Name),
		path:    path,
		args:    []string{"entry", "--config", e.settings},
		env:     f.layout.Env,
	})
	if err != nil {
		return err
	}
	e.process = p
	f.track(p)
	return nil
}

// AddEntry adds an entry with a new name without starting it; RestartEntry starts
// it. It must not be called concurrently with other methods.
func (f *Fleet) AddEntry() (*Entry, error) {
	e, err := f.addEntry(len(f.entries) + 1)
	if err == nil {
		f.entries = append(f.entries, e)
	}
	return e, err
}

// RestartEntry starts an entry, counted from 1, whose process has exited or was
// never started. It does not wait until the entry is ready.
func (f *Fleet) RestartEntry(number int) error {
	e := f.entries[number-1]
	if e.process != nil && e.process.Running() {
		return fmt.Errorf("harness: %s is still running", e.Name)
	}
	return f.startEntry(e)
}

// Operator returns an operator client for one entry, counted from 1.
func (f *Fleet) Operator(number int) (*tmoperator.Client, error) {
	return tmoperator.NewClient(f.entries[number-1].OperatorURL, f.operatorKey, f.http)
}

// checkReady returns an error unless the entry, counted from 1, is healthy and
// fresh, knows n members and has the latest version that it knows in force.
func (f *Fleet) checkReady(ctx context.Context, number, n int) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	e := f.entries[number-1]
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.OperatorURL+"/healthz", nil)
	if err != nil {
		return fmt.Errorf("harness: %w", err)
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return fmt.Errorf("harness: %s: %w", e.Name, err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("harness: %s is not healthy: HTTP status %d", e.Name, resp.StatusCode)
	}
	dump, err := f.Dump(ctx, number)
	if err != nil {
		return err
	}
	if len(dump.Members) != n || !dump.Fresh || dump.InForce != dump.Version {
		return fmt.Errorf("harness: %s knows %d of %d members, has version %d with version %d in force, fresh %t",
			e.Name, len(dump.Members), n, dump.Version, dump.InForce, dump.Fresh)
	}
	return nil
}

// Dump is the subset of an entry's state dump that tests read.
type Dump struct {
	Incarnation string `json:"incarnation"`
	Version     uint64 `json:"version"`
	InForce     uint64 `json:"in_force_version"`
	Fresh       bool   `json:"fresh"`
	Members     []struct {
		Name        string `json:"name"`
		Incarnation string `json:"incarnation"`
	} `json:"members"`
	Leases []struct {
		Instance string `json:"instance"`
		Slots    int    `json:"slots"`
		Running  int    `json:"running"`
		Usable   bool   `json:"usable"`
	} `json:"leases"`
	Slices []struct {
		Team  string `json:"team"`
		Held  int    `json:"held"`
		InUse int    `json:"in_use"`
	} `json:"slices"`
	OpenRequests int `json:"open_requests"`
}

// Dump fetches the state dump of one entry, counted from 1.
func (f *Fleet) Dump(ctx context.Context, number int) (Dump, error) {
	client, err := f.Operator(number)
	if err != nil {
		return Dump{}, err
	}
	raw, err := client.Dump(ctx)
	if err != nil {
		return Dump{}, err
	}
	var d Dump
	if err := json.Unmarshal(raw, &d); err != nil {
		return Dump{}, fmt.Errorf("harness: dump of entry %d: %w", number, err)
	}
	return d, nil
}
