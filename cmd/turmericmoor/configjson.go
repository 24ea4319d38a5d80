package main

import (
	"encoding/json"

	"github.com/spf13/cobra"

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
