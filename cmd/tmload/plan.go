package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"turmericmoor/internal/load"
)

// readPlan reads a load from a file in INI form. The section [load] has
// entries, duration, seed, open and conns; each section [stream NAME] is a
// stream. Paths of keys start at the directory of the file.
func readPlan(path string) (load.Plan, error) {
	file, err := ini.Load(path)
	if err != nil {
		return load.Plan{}, fmt.Errorf("load file: %w", err)
	}
	var plan load.Plan
	var problems []error
	for _, section := range file.Sections() {
		name, isStream := strings.CutPrefix(section.Name(), "stream ")
		switch {
		case section.Name() == ini.DefaultSection && len(section.Keys()) == 0:
		case section.Name() == "load":
			problems = append(problems, readValues(section.KeysHash(), "[load]", planKeys(&plan)))
		case isStream:
			stream, err := readStream(name, section.KeysHash(), filepath.Dir(path))
			plan.Streams = append(plan.Streams, stream)
			problems = append(problems, err)
		default:
			problems = append(problems, fmt.Errorf("unknown section [%s], expected [load] or [stream NAME]", section.Name()))
		}
	}
	return plan, errors.Join(problems...)
}

// parseStream reads a stream from a flag such as
// name=scans,queue=scans,key_file=crews.key,rate=20,run=fixed:100ms.
func parseStream(text string) (load.Stream, error) {
	values := map[string]string{}
	for _, pair := range strings.Split(text, ",") {
		key, value, found := strings.Cut(pair, "=")
		if !found {
			return load.Stream{}, fmt.Errorf("stream %q: %q is not of the form key=value", text, pair)
		}
		values[strings.TrimSpace(key)] = strings.TrimSpace(value)
	}
	name := values["name"]
	delete(values, "name")
	return readStream(name, values, ".")
}

// setter takes the value of one key.
type setter func(value string) error

func planKeys(p *load.Plan) map[string]setter {
	return map[string]setter{
		"entries": func(v string) error {
			p.Entries = strings.Fields(strings.ReplaceAll(v, ",", " "))
			return nil
		},
		"duration": duration(&p.Duration),
		"seed": func(v string) (err error) {
			p.Seed, err = strconv.ParseUint(v, 10, 64)
			return err
		},
		"open":  number(&p.MaxOpenRequests),
		"conns": number(&p.MaxConnsPerEntry),
	}
}

func readStream(name string, values map[string]string, dir string) (load.Stream, error) {
	s := load.Stream{Name: name}
	keys := map[string]setter{
		"key_file":    keyFile(&s.Key, dir),
		"team":        text(&s.Team),
		"queue":       text(&s.Queue),
		"run":         func(v string) (err error) { s.RunTime, err = load.ParseRunTime(v); return err },
		"rate":        func(v string) (err error) { s.Rate, err = strconv.ParseFloat(v, 64); return err },
		"constant":    flag(&s.ConstantInterval),
		"idempotent":  flag(&s.Idempotent),
		"own_ids":     flag(&s.CallerChoosesIDs),
		"urgent":      flag(&s.Urgent),
		"preemptible": flag(&s.Preemptible),
		"size":        number(&s.Size),
		"timeout":     duration(&s.Timeout),
		"retries":     number(&s.Retries),
		"retry_wait":  duration(&s.RetryWait),
	}
	return s, readValues(values, "stream "+name, keys)
}

func readValues(values map[string]string, where string, keys map[string]setter) error {
	var problems []error
	for key, value := range values {
		set, known := keys[key]
		if !known {
			var names []string
			for name := range keys {
				names = append(names, name)
			}
			slices.Sort(names)
			problems = append(problems, fmt.Errorf("%s: unknown key %q, expected one of %s", where, key, strings.Join(names, ", ")))
			continue
		}
		if err := set(value); err != nil {
			problems = append(problems, fmt.Errorf("%s: %s: %w", where, key, err))
		}
	}
	return errors.Join(problems...)
}

func text(into *string) setter {
	return func(v string) error {
		*into = v
		return nil
	}
}

func number(into *int) setter {
	return func(v string) (err error) {
		*into, err = strconv.Atoi(v)
		return err
	}
}

func flag(into *bool) setter {
	return func(v string) (err error) {
		*into, err = strconv.ParseBool(v)
		return err
	}
}

func duration(into *time.Duration) setter {
	return func(v string) (err error) {
		*into, err = time.ParseDuration(v)
		return err
	}
}

func keyFile(into *string, dir string) setter {
	return func(v string) error {
		if !filepath.IsAbs(v) {
			v = filepath.Join(dir, v)
		}
		data, err := os.ReadFile(v)
		*into = strings.TrimSpace(string(data))
		return err
	}
}
