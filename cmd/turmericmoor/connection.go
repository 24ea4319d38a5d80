package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"turmericmoor/core/tmchange"
	"turmericmoor/io/tmoperator"
)

// Environment variables that stand for the flags of the same name.
const (
	envOperator = "TURMERICMOOR_OPERATOR"
	envKeyFile  = "TURMERICMOOR_OPERATOR_KEY_FILE"
	envCAFile   = "TURMERICMOOR_OPERATOR_CA_FILE"
)

// An entry answers a change after at most 8 s. A call that fails without a
// definite answer is repeated with the same change id, which is safe.
const (
	callTimeout   = 15 * time.Second
	attempts      = 3
	attemptsPause = time.Second
)

// operator has the flags of the commands that talk to an entry.
type operator struct {
	url      string
	keyFile  string
	caFile   string
	output   string
	changeID string
}

// addFlags adds the connection and output flags to a command and all its
// subcommands.
func (o *operator) addFlags(cmd *cobra.Command) {
	f := cmd.PersistentFlags()
	f.StringVar(&o.url, "operator", os.Getenv(envOperator), "URL of the operator listener of any entry [$"+envOperator+"]")
	f.StringVar(&o.keyFile, "operator-key-file", os.Getenv(envKeyFile), "file with the operator key [$"+envKeyFile+"]")
	f.StringVar(&o.caFile, "operator-ca-file", os.Getenv(envCAFile), "PEM file with the authority of the entry's certificate [$"+envCAFile+"]")
	f.StringVar(&o.output, "output", outputHuman, "form of the output: human or json")
}

// addChangeID adds the flag for repeating a change whose answer was lost.
func (o *operator) addChangeID(cmd *cobra.Command) {
	cmd.Flags().StringVar(&o.changeID, "change-id", "", "id of the change, to repeat one whose answer was lost (default: a new UUID)")
}

func (o *operator) client() (*tmoperator.Client, error) {
	if o.url == "" {
		return nil, fmt.Errorf("%w: no operator URL, expected --operator or $%s", errUsage, envOperator)
	}
	if o.keyFile == "" {
		return nil, fmt.Errorf("%w: no operator key, expected --operator-key-file or $%s", errUsage, envKeyFile)
	}
	key, err := os.ReadFile(o.keyFile)
	if err != nil {
		return nil, fmt.Errorf("operator key: %w", err)
	}
	transport, err := o.transport()
	if err != nil {
		return nil, err
	}
	client := &http.Client{Transport: transport, Timeout: callTimeout}
	return tmoperator.NewClient(o.url, strings.TrimSpace(string(key)), client)
}

func (o *operator) transport() (*http.Transport, error) {
	t := &http.Transport{ForceAttemptHTTP2: true}
	if o.caFile == "" {
		return t, nil
	}
	data, err := os.ReadFile(o.caFile)
	if err != nil {
		return nil, fmt.Errorf("operator CA: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("operator CA: %s has no certificate, expected PEM", o.caFile)
	}
	t.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return t, nil
}

// id returns the change id from the flag, or a new one.
func (o *operator) id() (string, error) {
	if o.changeID != "" {
		return o.changeID, nil
	}
	id, err := uuid.NewV7()
	if err != nil {
		return "", fmt.Errorf("new change id: %w", err)
	}
	return id.String(), nil
}

// apply sends changes and prints the result.
func (o *operator) apply(cmd *cobra.Command, base uint64, changes ...tmchange.Change) error {
	status, err := o.send(cmd.Context(), base, changes)
	if err != nil {
		return err
	}
	return o.printStatus(cmd, status)
}

// send sends changes, if necessary several times with the same id.
func (o *operator) send(ctx context.Context, base uint64, changes []tmchange.Change) (tmoperator.ChangeStatus, error) {
	return o.retry(ctx, func(client *tmoperator.Client, id string) (tmoperator.ChangeStatus, error) {
		return client.Apply(ctx, tmoperator.ChangeRequest{ID: id, BaseVersion: base, Changes: changes})
	})
}

func (o *operator) retry(ctx context.Context, call func(*tmoperator.Client, string) (tmoperator.ChangeStatus, error)) (tmoperator.ChangeStatus, error) {
	client, err := o.client()
	if err != nil {
		return tmoperator.ChangeStatus{}, err
	}
	id, err := o.id()
	if err != nil {
		return tmoperator.ChangeStatus{}, err
	}
	sent := false
	for n := 1; ; n++ {
		status, err := call(client, id)
		if err == nil || refused(err) {
			return status, err
		}
		sent = sent || !unconnected(err)
		if n == attempts && !sent {
			return status, fmt.Errorf("no connection to the entry, nothing was sent: %w", err)
		}
		if n == attempts {
			return status, fmt.Errorf("%w, repeat it with --change-id %s: %w", errUnknownOutcome, id, err)
		}
		select {
		case <-ctx.Done():
			return status, fmt.Errorf("%w, repeat it with --change-id %s: %w", errUnknownOutcome, id, ctx.Err())
		case <-time.After(attemptsPause):
		}
	}
}

// unconnected reports whether err says that no connection was opened, so that
// nothing was sent.
func unconnected(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

// refused reports whether err says for certain that nothing was stored.
func refused(err error) bool {
	var api *tmoperator.APIError
	return errors.As(err, &api) && api.Status < http.StatusInternalServerError
}
