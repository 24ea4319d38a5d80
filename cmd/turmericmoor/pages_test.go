package main

import (
	"errors"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"

	"turmericmoor/core/tmchange"
	"turmericmoor/io/tmcodec"
	"turmericmoor/io/tmsettings"
)

const repository = "../.."

func readPage(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(repository, name))
	assert.NilError(t, err)
	return string(data)
}

// pages returns the names of README.md and docs/*.md.
func pages(t *testing.T) []string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(repository, "docs", "*.md"))
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 0)
	names := []string{"README.md"}
	for _, p := range paths {
		names = append(names, filepath.Join("docs", filepath.Base(p)))
	}
	return names
}

// section returns the text of a page from a heading to the next one of the
// same level.
func section(t *testing.T, page, heading string) string {
	t.Helper()
	_, text, ok := strings.Cut(page, "\n"+heading+"\n")
	assert.Assert(t, ok, "no heading %q", heading)
	level, _, _ := strings.Cut(heading, " ")
	text, _, _ = strings.Cut(text, "\n"+level+" ")
	return text
}

// uniqueMatches returns the first group of all matches, sorted and without
// duplicates.
func uniqueMatches(pattern, text string) []string {
	var list []string
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		list = append(list, m[1])
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// shellWord matches a word, a quoted string, or an operator that ends a command.
var shellWord = regexp.MustCompile(`(?:'[^']*'|"[^"]*"|[^\s'"|;&>]|>&)+|[|;&>]+`)

// commandArgs returns the arguments up to the next shell operator.
func commandArgs(line string) []string {
	var args []string
	for _, word := range shellWord.FindAllString(line, -1) {
		if strings.ContainsAny(word[:1], "|;&>") {
			break
		}
		args = append(args, strings.Trim(word, `'"`))
	}
	return args
}

// commandLines returns the command lines of a page: those in code blocks, which must
// be complete, and those in running text, which may omit arguments.
func commandLines(page string) (complete, partial []string) {
	page = strings.ReplaceAll(page, "\\\n", " ")
	var text strings.Builder
	fenced := false
	for line := range strings.Lines(page) {
		trimmed := strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(trimmed, "```"):
			fenced = !fenced
		case !fenced:
			text.WriteString(line)
		default:
			complete = append(complete, uniqueMatches(`(?:^|[$:;&|] )turmericmoor ([^:].*)`, trimmed)...)
		}
	}
	return complete, uniqueMatches("`turmericmoor\\s([^`]+)`", text.String())
}

func checkUsage(line string, complete bool) error {
	cmd, rest, err := newRoot().Find(commandArgs(line))
	if err != nil {
		return err
	}
	if cmd.HasSubCommands() && len(rest) > 0 {
		return errors.New("unknown command")
	}
	if err := cmd.ParseFlags(rest); err != nil || !complete {
		return err
	}
	if cmd.HasSubCommands() {
		return errors.New("no command")
	}
	return errors.Join(cmd.ValidateRequiredFlags(), cmd.ValidateArgs(cmd.Flags().Args()))
}

// Guards against pages with commands, arguments or flags that the program doesn't
// accept.
func TestCommandsInPages(t *testing.T) {
	checked := 0
	for _, name := range pages(t) {
		complete, partial := commandLines(readPage(t, name))
		for _, line := range complete {
			assert.NilError(t, checkUsage(line, true), "%s: turmericmoor %s", name, line)
		}
		for _, line := range partial {
			assert.NilError(t, checkUsage(line, false), "%s: turmericmoor %s", name, line)
		}
		checked += len(complete) + len(partial)
	}
	assert.Assert(t, checked > 50, "only %d commands were found", checked)
	for _, wrong := range []string{"zones list", "zone of a", "zone out", "zone out a --force", "zone add a", "limit set a"} {
		assert.Assert(t, checkUsage(wrong, true) != nil, wrong)
	}
}

// hasFlag reports whether the command or one of its subcommands has the flag.
func hasFlag(cmd *cobra.Command, flag string) bool {
	if cmd.Flags().Lookup(flag) != nil || cmd.PersistentFlags().Lookup(flag) != nil {
		return true
	}
	return slices.ContainsFunc(cmd.Commands(), func(sub *cobra.Command) bool { return hasFlag(sub, flag) })
}

// Guards against flags in running text that don't exist in any command.
func TestFlagsInPages(t *testing.T) {
	for _, name := range []string{"README.md", "docs/API.md", "docs/OPERATORS.md"} {
		for _, flag := range uniqueMatches("`--([a-z-]+)", readPage(t, name)) {
			assert.Assert(t, hasFlag(newRoot(), flag), "%s: no command has --%s", name, flag)
		}
	}
}

// Guards against links to files that don't exist.
func TestLinksInPages(t *testing.T) {
	for _, name := range pages(t) {
		for _, link := range uniqueMatches(`\]\(([^)#:]+)[^)]*\)`, readPage(t, name)) {
			_, err := os.Stat(filepath.Join(repository, filepath.Dir(name), link))
			assert.NilError(t, err, name)
		}
	}
}

// settingsKeys returns the keys that an entry accepts, by section. It takes them
// from the errors about unknown keys, which list the accepted ones.
func settingsKeys(t *testing.T) map[string][]string {
	t.Helper()
	alternatives := func(section string) string {
		_, err := tmsettings.Parse("x", []byte("["+section+"]\nno_such_key = 1\n"))
		var invalid *tmsettings.InvalidError
		assert.Assert(t, errors.As(err, &invalid))
		for _, p := range invalid.Problems {
			if p.Field == section+".no_such_key" {
				return p.Expected
			}
		}
		t.Fatalf("an unknown key in section %s is accepted", section)
		return ""
	}
	keys := map[string][]string{}
	for _, section := range uniqueMatches(`\[(\w+)\]`, alternatives("no_such_section")) {
		list := strings.TrimPrefix(alternatives(section), "one of ")
		keys[section] = strings.Split(list, ", ")
	}
	return keys
}

// Guards against an example that lacks a setting or has one that doesn't exist.
// Settings in comments count too.
func TestSettingsInExample(t *testing.T) {
	example := map[string][]string{}
	section := ""
	for line := range strings.Lines(readPage(t, "docs/entry.example.ini")) {
		if m := uniqueMatches(`^\[(\w+)\]`, line); len(m) > 0 {
			section = m[0]
		}
		example[section] = append(example[section], uniqueMatches(`^(?:# )?(\w+) = `, line)...)
	}
	delete(example, "")
	for _, keys := range example {
		slices.Sort(keys)
	}
	assert.DeepEqual(t, example, settingsKeys(t))
}

// Guards against a limit of the node that its page lacks, and one on the page that does not exist.
func TestNodeLimitsInPage(t *testing.T) {
	described := uniqueMatches("(?m)^\\| `limits\\.(\\w+)`", readPage(t, "docs/OPERATIONS.md"))
	read := uniqueMatches(`count\("(?:limits\.)?(\w+)"`, readPage(t, "io/tmnodesettings/limits.go")+readPage(t, "io/tmnodesettings/settings.go"))
	assert.DeepEqual(t, described, read)
}

// Guards against a description of the operator protocol, the metrics or the
// dump that differs from the code.
func TestNamesInPages(t *testing.T) {
	api := readPage(t, "docs/API.md")
	operators := section(t, api, "## Operators")
	server := readPage(t, "io/tmoperator/server.go")
	calls := append(uniqueMatches(`[hH]andle\("((?:GET|POST) [^"]+)"`, server), "GET /healthz")
	slices.Sort(calls)
	assert.DeepEqual(t, uniqueMatches("(?m)^\\| `((?:GET|POST) [^`]+)`", operators), calls)

	codes := uniqueMatches("(?m)^\\| `(\\w+)` \\|", section(t, operators, "### Errors of the operator listener"))
	assert.DeepEqual(t, codes, uniqueMatches(`Code: "(\w+)"`, server))

	_, err := tmcodec.DecodeChanges([]byte(`[{"op":"no_such_op"}]`))
	var invalid *tmchange.InvalidError
	assert.Assert(t, errors.As(err, &invalid))
	ops := strings.Split(strings.TrimPrefix(invalid.Problems[0].Expected, "one of "), ", ")
	rows := strings.Join(uniqueMatches("(?m)^\\| (`[^|]+`) \\|", section(t, operators, "### Changes")), " ")
	assert.DeepEqual(t, uniqueMatches("`(\\w+)`", rows), ops)

	metrics := uniqueMatches(`(?:counter\(|gauge\(|Name: )"(\w+)"`, readPage(t, "io/tmentry/metrics.go"))
	metrics = append(metrics, uniqueMatches(`namespace\+"_(\w+)"`, readPage(t, "io/tmguard/metrics.go"))...)
	slices.Sort(metrics)
	assert.DeepEqual(t, uniqueMatches("(?m)^\\| `turmericmoor_(\\w+)", section(t, operators, "### Metrics")), metrics)
	alerts := readPage(t, "docs/OPERATORS.md")
	for _, name := range uniqueMatches("`turmericmoor_(\\w+)", alerts) {
		assert.Assert(t, slices.Contains(metrics, name), "docs/OPERATORS.md: no metric %s", name)
	}

	fields := map[string]bool{}
	for _, f := range uniqueMatches("`(?:leases\\[\\]\\.)?(\\w+)`", section(t, alerts, "## Reading a dump")) {
		fields[f] = true
	}
	for _, f := range uniqueMatches(`json:"(\w+)"`, readPage(t, "io/tmentry/dump.go")) {
		assert.Assert(t, fields[f], "docs/OPERATORS.md: the dump field %s is not described, only %v", f, slices.Sorted(maps.Keys(fields)))
	}
}

// Guards against a library example in README.md that differs from the example that
// runs as a test.
func TestLibraryExample(t *testing.T) {
	_, block, ok := strings.Cut(readPage(t, "README.md"), "```go\n")
	assert.Assert(t, ok)
	block, _, _ = strings.Cut(block, "```")
	source := readPage(t, "core/tmshare/example_test.go")
	for line := range strings.Lines(block) {
		assert.Assert(t, strings.Contains(source, strings.TrimSpace(line)), line)
	}
}
