package tmsettings_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/io/tmsettings"
)

const examplePath = "../../docs/entry.example.ini"

// Guards against an example file that no longer matches the settings.
func TestExampleLoads(t *testing.T) {
	s, err := tmsettings.Load(examplePath)
	assert.NilError(t, err)
	assert.Equal(t, s.Name(), "entry-1")
	assert.Equal(t, s.PeerAdvertise(), s.PeerListen())
	assert.Equal(t, s.QueueBytes(), int64(64_000_000))
	assert.Equal(t, s.IdleTimeout().String(), "60000ms")
}

// Guards against invalid settings that are accepted, and against errors that
// don't name the field and the expected value.
func TestBadSettings(t *testing.T) {
	data, err := os.ReadFile(examplePath)
	assert.NilError(t, err)
	cases := []struct{ old, new, field, expected string }{
		{"name = entry-1", "name = Entry 1", "entry.name", "lower-case"},
		{"zone = zone-a", "", "entry.zone", "a name"},
		{"log_level = info", "log_level = loud", "entry.log_level", "debug, info"},
		{"listen = 127.0.0.1:8400", "listen = localhost:8400", "callers.listen", "IP:port"},
		{"listen = 127.0.0.1:8402", "listen = 0.0.0.0:8402", "peers.advertise", "other entries"},
		{"listen = 127.0.0.1:8402", "listen = 127.0.0.1:0", "peers.listen", "1 to 65535"},
		{"# tls_cert = callers.crt", "tls_cert = callers.crt", "callers.tls_key", "key file"},
		{"max_body = 1MB", "max_body = 1000000", "callers.max_body", "unit"},
		{"max_body = 1MB", "max_body = 65MB", "callers.max_body", "queue"},
		{"operator_key_hash = ", "operator_key_hash = F", "operators.operator_key_hash", "64 lower-case"},
		{"secret = example-secret", "secret = x # ", "peers.secret", "32"},
		{"# secret_file =", "secret_file =", "peers.secret", "either"},
		{"url = http://127.0.0.1:8080", "url = http://platform:8080", "platform.url", "IP"},
		{"platform = 2s", "platform = 2", "timeouts.platform", "unit"},
		{"max_requests = 10000", "max_requests = 0", "queue.max_requests", "1 to"},
		{"max_requests = 10000", "max_request = 10000", "queue.max_request", "max_requests"},
		{"[queue]", "[queues]", "queues.max_size", "[queue]"},
		{"[queue]", "[colours]\n[queue]", "[colours]", "[queue]"},
		{"idle = 1m", "idle = 1m\nidle = 1m", "timeouts.idle", "one value"},
		{"idle = 1m", "idle", "syntax", "key = value"},
	}
	for _, c := range cases {
		text := strings.Replace(string(data), c.old, c.new, 1)
		_, err := tmsettings.Parse("entry.ini", []byte(text))
		var invalid *tmsettings.InvalidError
		assert.Assert(t, errors.As(err, &invalid), "%s accepted", c.new)
		found := false
		for _, p := range invalid.Problems {
			found = found || (p.Field == c.field && strings.Contains(p.Expected, c.expected))
		}
		assert.Assert(t, found, "%s: %v", c.new, err)
	}
}

// Guards against an error about an unknown key without its file and line.
func TestUnknownKeyHasLine(t *testing.T) {
	_, err := tmsettings.Parse("entry.ini", []byte("[entry]\nname = a\ncolour = red\n"))
	assert.ErrorContains(t, err, "entry.ini:3: entry.colour: is not known")
}

// Guards against panics on arbitrary files, and against settings that are accepted
// without required values.
func FuzzParse(f *testing.F) {
	data, err := os.ReadFile(examplePath)
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte("[peers]\nsecret=\"\"\"\nx"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := tmsettings.Parse("fuzz.ini", data)
		if err == nil && (s.Name() == "" || s.PlatformTimeout() < 1 || s.QueueRequests() < 1) {
			t.Fatalf("accepted without required values: %+v", s)
		}
	})
}
