package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"turmericmoor/internal/standin/tmfakebackend"
	"turmericmoor/io/tmoperator"
)

const keyHash = "4489ff2f9ea96e76d15846c1b6fb8fe5e2831f2433aebb54ccf3be9db7d1418d"

// console runs command lines against an in-memory backend.
type console struct {
	t       *testing.T
	backend *tmfakebackend.Backend
	dir     string
}

func newConsole(t *testing.T) *console {
	c := &console{t: t, backend: tmfakebackend.New(), dir: t.TempDir()}
	handler, err := tmoperator.NewHandler(c.backend, keyHash, log.New(io.Discard))
	assert.NilError(t, err)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	t.Setenv(envOperator, server.URL)
	t.Setenv(envKeyFile, c.write("operator.key", "example-operator-key\n"))
	return c
}

func (c *console) write(name, text string) string {
	path := filepath.Join(c.dir, name)
	assert.NilError(c.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// run executes a command line, asserts its exit code, and returns the standard
// output and the standard error.
func (c *console) run(code int, input, line string) (string, string) {
	c.t.Helper()
	var out, errOut bytes.Buffer
	got := run(strings.Fields(line), strings.NewReader(input), &out, &errOut)
	assert.Equal(c.t, got, code, "%s: %s%s", line, out.String(), errOut.String())
	return out.String(), errOut.String()
}

// addFleet adds a zone and two pools of three instances each.
func (c *console) addFleet() {
	c.run(exitDone, "", "zone add z0 --region west")
	c.run(exitDone, "", "pool add steps --max-unavailable 1")
	c.run(exitDone, "", "pool add spares --max-unavailable 1")
	for i, pool := range []string{"steps", "steps", "steps", "spares", "spares", "spares"} {
		n := string(rune('0' + i))
		c.run(exitDone, "", "instance add i"+n+" --address 127.0.0.1:900"+n+" --zone z0 --rack r --pool "+pool)
	}
}

// Guards against a command that sends a different change from the one that its
// help describes.
func TestCommands(t *testing.T) {
	c := newConsole(t)
	c.addFleet()
	c.run(exitDone, "", "team add crews --share 2 --limit 20 --urgent")
	c.run(exitDone, "", "share set crews 3")
	c.run(exitDone, "", "limit set crews 30")
	c.run(exitDone, "", "queue add scans --pool steps")
	c.run(exitDone, "", "queue add public --pool steps --open --team crews")
	c.run(exitDone, "", "pool move i0 spares")
	c.run(exitFailed, "", "instance leave i1")
	c.run(exitDone, "", "pool finish-move i0")
	c.run(exitDone, "", "instance leave i1")
	c.run(exitDone, "", "instance serve i1")
	c.run(exitDone, "", "instance leave i1")
	c.run(exitDone, "", "instance remove i1")
	c.run(exitDone, "", "queue remove public")
	c.run(exitDone, "", "pool set-budget spares 2")
	c.run(exitDone, "", "zone out z0")
	out, _ := c.run(exitDone, "", "config show")
	want, err := os.ReadFile("testdata/show.txt")
	assert.NilError(t, err)
	assert.Equal(t, trimLines(out), string(want))
	out, _ = c.run(exitDone, "", "config history --output json")
	assert.Assert(t, strings.Contains(out, `"op": "zone_out"`))
	c.run(exitDone, "", "zone in z0")
	c.run(exitDone, "", "wave start w1 --pool spares --reason kernel")
	c.run(exitDone, "", "wave stop w1")
	out, _ = c.run(exitDone, "", "wave status")
	assert.Assert(t, strings.Contains(out, "stopped"), out)
	c.run(exitDone, "", "dump")
	c.run(exitDone, "", "team remove crews")
}

// trimLines removes the padding that the table writer adds before an empty last
// column.
func trimLines(text string) string {
	lines := strings.Split(text, "\n")
	for i, l := range lines {
		lines[i] = strings.TrimRight(l, " ")
	}
	return strings.Join(lines, "\n")
}

// Guards against a printed key that doesn't match the granted hash, and against
// sending the key itself instead of its hash.
func TestKeyGrant(t *testing.T) {
	c := newConsole(t)
	c.addFleet()
	c.run(exitDone, "", "team add crews --share 2 --limit 20")
	out, _ := c.run(exitDone, "", "key grant crews anna --output json")
	var granted statusOutput
	assert.NilError(t, json.Unmarshal([]byte(out), &granted))
	hash := sha256.Sum256([]byte(granted.Keys[0].Key))
	list, _ := c.run(exitDone, "", "key list")
	assert.Assert(t, strings.Contains(list, hex.EncodeToString(hash[:])))
	assert.Assert(t, !strings.Contains(list, granted.Keys[0].Key))
	c.run(exitDone, "", "key withdraw anna")
	list, _ = c.run(exitDone, "", "key list --output json")
	assert.Equal(t, list, "[]\n")
}

// Guards against exit codes that differ from those in the help.
func TestExitCodes(t *testing.T) {
	c := newConsole(t)
	for _, line := range []string{
		"x", "zone x", "zone add", "zone add z0", "zone add z0 --region west --x", "limit set a b",
		"zone list --output xml", "zone list --operator=", "wave start w",
	} {
		_, text := c.run(exitUsage, "", line)
		assert.Assert(t, strings.Contains(text, "--help"), line)
	}
	c.run(exitDone, "", "--help")
	c.run(exitFailed, "", "config apply missing.json")
	c.run(exitFailed, "", "zone list --operator-key-file "+c.write("wrong", "wrong"))
	c.run(exitFailed, `[{"op":"zone_out","nam":"z"}]`, "config check -")
	c.run(exitFailed, `[{"op":"zone_out","name":"z"}]`, "config apply -")
	c.backend.HoldConfirmations(true)
	c.run(exitPending, "", "zone add z0 --region west --change-id c1")
	c.run(exitPending, "", "zone add z0 --region west --change-id c1")
	state, err := c.backend.State(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, state.Version(), uint64(1))
}

// Guards against reporting an unknown outcome when no connection was opened:
// operators would look for a change that was never sent.
func TestNoConnection(t *testing.T) {
	c := newConsole(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	url := "http://" + listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, text := c.run(exitFailed, "", "zone out z0 --operator "+url)
	assert.Assert(t, strings.Contains(text, "nothing was sent"), text)
	assert.Assert(t, !strings.Contains(text, "may have been stored"), text)
}

const answersExample = "../../docs/answers.example.ini"

// Guards against typed answers that generate different changes from the same
// answers in a file, and against errors about a file without its name and line.
func TestQuestionnaire(t *testing.T) {
	c := newConsole(t)
	c.addFleet()
	path := answersExample
	answers, err := os.ReadFile(path)
	assert.NilError(t, err)
	file, hint := c.run(exitDone, "", "questionnaire --answers "+path)
	assert.Assert(t, strings.Contains(hint, "key grant crews crews-anna"), hint)
	c.run(exitDone, file, "config check -")
	typed := "crews\nplans crews\nmany\n20\n10\n\n\njobs\nsteps\n\n\n\nanna\n"
	same, prompts := c.run(exitDone, typed, "questionnaire")
	assert.Equal(t, same, file)
	assert.Assert(t, strings.Contains(prompts, `"many" is no answer`), prompts)
	c.run(exitFailed, "crews\n", "questionnaire")
	bad := c.write("bad.ini", strings.Replace(string(answers), "pool = steps", "pool = step", 1))
	_, text := c.run(exitFailed, "", "questionnaire --answers "+bad)
	assert.Assert(t, strings.Contains(text, `bad.ini:20: pool: unknown pool "step", expected one of spares, steps`), text)
	out, _ := c.run(exitDone, "", "questionnaire --apply --answers "+path)
	assert.Assert(t, strings.Contains(out, "key crews-anna: "), out)
	c.run(exitDone, "", "key withdraw crews-anna")
}
