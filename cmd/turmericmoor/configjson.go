package main

import (
	"encoding/json"

	"github.com/spf13/cobra"

	"turmericmoor/core/tmcheck"
	"turmericmoor/core/tmfleet"
	"turmericmoor/io/tmcodec"
	"turmericmoor/io/tmoperator"
)

type configOutput struct {
	Version uint64          `json:"version"`
	Config  json.RawMessage `json:"config"`
}

func printConfigJSON(cmd *cobra.Command, config tmfleet.Config, version uint64) error {
	data, err := tmcodec.EncodeConfig(config, true)
	if err != nil {
		return err
	}
	return printJSON(cmd, configOutput{Version: version, Config: data})
}

type revisionOutput struct {
	Version       uint64          `json:"version"`
	ChangeID      string          `json:"change_id,omitempty"`
	WrittenUnixMS int64           `json:"written_unix_ms"`
	Changes       json.RawMessage `json:"changes"`
}

func printHistoryJSON(cmd *cobra.Command, list []tmoperator.Revision) error {
	out := make([]revisionOutput, 0, len(list))
	for _, r := range list {
		changes, err := tmcodec.EncodeChanges(r.Changes)
		if err != nil {
			return err
		}
		out = append(out, revisionOutput{
			Version:       r.Version,
			ChangeID:      r.ChangeID,
			WrittenUnixMS: int64(r.Written),
			Changes:       changes,
		})
	}
	return printJSON(cmd, out)
}

// reportOutput is the output of config check.
type reportOutput struct {
	// Version is absent if only the form of the file was checked.
	Version     *uint64            `json:"version,omitempty"`
	Findings    []findingOutput    `json:"findings"`
	Differences []differenceOutput `json:"differences"`
}

type findingOutput struct {
	Name     string `json:"name"`
	Severity string `json:"severity"`
	Place    string `json:"place"`
	Message  string `json:"message"`
	Expected string `json:"expected"`
	InForce  bool   `json:"in_force"`
}

type differenceOutput struct {
	Section    string        `json:"section"`
	Name       string        `json:"name"`
	Difference string        `json:"difference"`
	Fields     []fieldOutput `json:"fields"`
}

type fieldOutput struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

func encodeReport(r tmcheck.Report, version *uint64) reportOutput {
	out := reportOutput{
		Version:     version,
		Findings:    make([]findingOutput, 0, len(r.Findings)),
		Differences: make([]differenceOutput, 0, len(r.Differences)),
	}
	for _, f := range r.Findings {
		out.Findings = append(out.Findings, findingOutput{
			Name:     string(f.Name),
			Severity: f.Severity.String(),
			Place:    f.Place,
			Message:  f.Message,
			Expected: f.Expected,
			InForce:  f.InForce,
		})
	}
	for _, d := range r.Differences {
		fields := make([]fieldOutput, 0, len(d.Fields))
		for _, f := range d.Fields {
			fields = append(fields, fieldOutput(f))
		}
		out.Differences = append(out.Differences, differenceOutput{Section: d.Section, Name: d.Entry, Difference: d.Kind.String(), Fields: fields})
	}
	return out
}
