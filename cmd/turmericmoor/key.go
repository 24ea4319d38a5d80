package main

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmfleet"
)

// keyBytes is the length of a random key, 256 bits.
const keyBytes = 32

var keyListing = listing{
	section: "keys",
	header:  []string{"LABEL", "TEAM", "SHA-256"},
	rows: func(c tmfleet.Config) [][]string {
		var rows [][]string
		for hash, k := range c.Keys().All() {
			rows = append(rows, []string{k.Label(), k.Team(), hash})
		}
		return rows
	},
}

func newKeyCommand() *cobra.Command {
	o := &operatorOptions{}
	return o.newGroup("key", "Grant, withdraw and list the keys of teams",
		o.newKeyGrant(), o.newKeyWithdraw(), o.newListCommand("keys by their hashes", keyListing))
}

// newKeyGrant has no --change-id flag: a retry would generate another key, and
// the stored status of the first change would be returned for it.
func (o *operatorOptions) newKeyGrant() *cobra.Command {
	return &cobra.Command{
		Use:   "grant TEAM LABEL",
		Short: "Make a random key, print it once and grant it",
		Long: `Make a random key of 256 bits, grant it to a team, and print it once. Only its
hash leaves this machine. When the outcome is not known, withdraw the label
before you grant it again.`,
		Example: "  turmericmoor key grant crews crews-anna",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			key, grant := newKey(args[0], args[1])
			status, err := o.send(cmd.Context(), 0, []tmchange.Change{grant})
			if err != nil {
				return wrapGrantError(err)
			}
			return o.printStatus(cmd, status, key)
		},
	}
}

// wrapGrantError adds instructions to the error of a grant whose outcome is
// unknown. The new keys aren't printed in this case, because they may not have
// been granted.
func wrapGrantError(err error) error {
	if !errors.Is(err, errUnknownOutcome) {
		return err
	}
	return fmt.Errorf("the new keys are not usable, withdraw their labels before you grant them again: %w", err)
}

// newKey returns a random key and the change that grants it.
func newKey(team, label string) (keyOutput, tmchange.Change) {
	var raw [keyBytes]byte
	_, _ = rand.Read(raw[:]) // crypto/rand.Read never returns an error
	key := base64.RawURLEncoding.EncodeToString(raw[:])
	hash := sha256.Sum256([]byte(key))
	grant := tmchange.GrantKey{Hash: hex.EncodeToString(hash[:]), Team: team, Label: label}
	return keyOutput{Label: label, Key: key}, grant
}

func (o *operatorOptions) newKeyWithdraw() *cobra.Command {
	byHash := false
	cmd := o.newNameCommand("withdraw LABEL", "Withdraw a key by its label or hash", "key withdraw crews-anna",
		func(name string) tmchange.Change {
			if byHash {
				return tmchange.WithdrawKey{Hash: name}
			}
			return tmchange.WithdrawKey{Label: name}
		})
	cmd.Flags().BoolVar(&byHash, "by-hash", false, "LABEL is the SHA-256 of the key in lower-case hex")
	return cmd
}
