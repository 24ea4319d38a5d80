// Package tmini reads INI files strictly: duplicate keys are rejected, and every
// value comes with its line, so that errors can name file and line.
// All functions are safe for concurrent use.
package tmini

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"gopkg.in/ini.v1"
)

// MaxSize is the largest file in bytes.
const MaxSize = 1 << 20

// Entry is one key of a file, or a section without keys, whose Key is empty.
type Entry struct {
	// Section is empty for keys above the first section.
	Section, Key, Value string
	// Line counts from 1, and is 0 when the line is not known.
	Line int
}

// Name returns the key with its section, for example "callers.listen".
func (e Entry) Name() string {
	if e.Key == "" {
		return "[" + e.Section + "]"
	}
	if e.Section == "" {
		return e.Key
	}
	return e.Section + "." + e.Key
}

// Problem describes one error in a file.
type Problem struct {
	File string
	// Line is 0 when the problem has no line, for example a missing key.
	Line int
	// Field is the key with its section.
	Field string
	// Message says what is wrong, Expected what is valid.
	Message, Expected string
}

// String returns the problem as one line.
func (p Problem) String() string {
	location := p.File
	if p.Line > 0 {
		location = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	return fmt.Sprintf("%s: %s: %s, expected %s", location, p.Field, p.Message, p.Expected)
}

// InvalidError lists every problem of a file.
type InvalidError struct {
	Problems []Problem
}

// Error returns all problems, one a line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Load reads the file at path.
func Load(path string) ([]Entry, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("tmini: %w", err)
	}
	if info.Size() > MaxSize {
		return nil, fmt.Errorf("tmini: %s has %d bytes, expected at most %d", path, info.Size(), MaxSize)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("tmini: %w", err)
	}
	return Parse(path, data)
}

// Parse reads the contents of a file. The name is used in errors. It returns an
// *InvalidError if the contents are not valid INI or have a duplicate key.
func Parse(name string, data []byte) ([]Entry, error) {
	file, err := ini.LoadSources(options(), data)
	if err != nil {
		return nil, &InvalidError{Problems: []Problem{syntaxProblem(name, data, err)}}
	}
	var entries []Entry
	var problems []Problem
	lines := indexLines(data)
	for _, section := range file.Sections() {
		sectionName := section.Name()
		if sectionName == ini.DefaultSection {
			sectionName = ""
		}
		if len(section.Keys()) == 0 && sectionName != "" {
			entries = append(entries, emptySection(sectionName, lines))
		}
		for _, key := range section.Keys() {
			e := Entry{Section: sectionName, Key: key.Name(), Value: key.Value()}
			at := lines[lineKey{sectionName, e.Key}]
			if len(at) > 0 {
				e.Line = at[0]
			}
			if n := len(key.ValueWithShadows()); n > 1 {
				problems = append(problems, duplicateProblem(name, e, at))
			}
			entries = append(entries, e)
		}
	}
	if len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return entries, nil
}

func options() ini.LoadOptions {
	return ini.LoadOptions{
		IgnoreContinuation:         true,
		SpaceBeforeInlineComment:   true,
		KeyValueDelimiters:         "=",
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
	}
}

func emptySection(sectionName string, lines map[lineKey][]int) Entry {
	e := Entry{Section: sectionName}
	if at := lines[lineKey{section: sectionName}]; len(at) > 0 {
		e.Line = at[0]
	}
	return e
}

func duplicateProblem(name string, e Entry, at []int) Problem {
	p := Problem{File: name, Field: e.Name(), Message: "is given twice", Expected: "one value"}
	if len(at) > 1 {
		p.Line = at[1]
	}
	return p
}

func syntaxProblem(name string, data []byte, err error) Problem {
	p := Problem{File: name, Field: "syntax", Message: err.Error(), Expected: "lines of the form key = value or [section]"}
	var delimiter ini.ErrDelimiterNotFound
	if !errors.As(err, &delimiter) {
		return p
	}
	p.Message = fmt.Sprintf("%q is not a key with a value", strings.TrimSpace(delimiter.Line))
	for i, line := range bytes.Split(data, []byte("\n")) {
		if strings.TrimSpace(string(line)) == strings.TrimSpace(delimiter.Line) {
			p.Line = i + 1
			break
		}
	}
	return p
}

// lineKey identifies a key, or a section if key is empty.
type lineKey struct{ section, key string }

// indexLines returns the line numbers of all keys, and those of section headers
// under an empty key, because the library does not report them. The result is
// only used in messages, so values of several lines need no handling.
func indexLines(data []byte) map[lineKey][]int {
	lines := make(map[lineKey][]int)
	section := ""
	for i, raw := range bytes.Split(data, []byte("\n")) {
		line := strings.TrimSpace(string(raw))
		if strings.HasPrefix(line, "[") {
			section = strings.TrimSpace(strings.Trim(strings.SplitN(line, "]", 2)[0], "["))
			at := lineKey{section: section}
			lines[at] = append(lines[at], i+1)
			continue
		}
		key, _, ok := strings.Cut(line, "=")
		if !ok || strings.HasPrefix(line, "#") || strings.HasPrefix(line, ";") {
			continue
		}
		at := lineKey{section, strings.TrimSpace(key)}
		lines[at] = append(lines[at], i+1)
	}
	return lines
}
