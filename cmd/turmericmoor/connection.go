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

// Environment variables that give the default values of the flags.
const (
	envOperator = "TURMERICMOOR_OPERATOR"
	envKeyFile  = "TURMERICMOOR_OPERATOR_KEY_FILE"
	envCAFile   = "TURMERICMOOR_OPERATOR_CA_FILE"
)

// callTimeout is longer than the 8 s within which an entry responds to a change.
// A call whose outcome is unknown is retried with the same change id, which makes
// the retry idempotent.
const (
	callTimeout = 15 * time.Second
	maxAttempts = 3
	retryDelay  = time.Second
)

// operatorOptions holds the flags of the commands that call the operator API of
// an entry.
type operatorOptions struct {
	url      string
	keyFile  string
	caFile   string
	output   string
	changeID string
}

// addFlags adds the connection and output flags to a command and all its
// subcommands.
func (o *operatorOptions) addFlags(cmd *cobra.Command) {
	f := cmd.PersistentFlags()
	f.StringVar(&o.url, "operator", os.Getenv(envOperator), "URL of the operator listener of any entry [$"+envOperator+"]")
	f.StringVar(&o.keyFile, "operator-key-file", os.Getenv(envKeyFile), "file with the operator key [$"+envKeyFile+"]")
	f.StringVar(&o.caFile, "operator-ca-file", os.Getenv(envCAFile), "PEM file with the authority of the entry's certificate [$"+envCAFile+"]")
	f.StringVar(&o.output, "output", outputHuman, "form of the output: human or json")
}

// addChangeID adds the flag for retrying a change whose response was lost.
func (o *operatorOptions) addChangeID(cmd *cobra.Command) {
	cmd.Flags().StringVar(&o.changeID, "change-id", "", "id of the change, to repeat one whose answer was lost (default: a new UUID)")
}

func (o *operatorOptions) client() (*tmoperator.Client, error) {
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

func (o *operatorOptions) transport() (*http.Transport, error) {
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

// resolveChangeID returns the change id from the flag, or a new UUID.
func (o *operatorOptions) resolveChangeID() (string, error) {
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
func (o *operatorOptions) apply(cmd *cobra.Command, base uint64, changes ...tmchange.Change) error {
	status, err := o.send(cmd.Context(), base, changes)
	if err != nil {
		return err
	}
	return o.printStatus(cmd, status)
}

// send sends changes and retries with the same change id while the outcome is
// unknown.
func (o *operatorOptions) send(ctx context.Context, base uint64, changes []tmchange.Change) (tmoperator.ChangeStatus, error) {
	return o.retry(ctx, func(client *tmoperator.Client, id string) (tmoperator.ChangeStatus, error) {
		return client.Apply(ctx, tmoperator.ChangeRequest{ID: id, BaseVersion: base, Changes: changes})
	})
}

// retry makes a call up to maxAttempts times with the same change id, until it
// succeeds or is rejected.
func (o *operatorOptions) retry(ctx context.Context, call func(*tmoperator.Client, string) (tmoperator.ChangeStatus, error)) (tmoperator.ChangeStatus, error) {
	client, err := o.client()
	if err != nil {
		return tmoperator.ChangeStatus{}, err
	}
	id, err := o.resolveChangeID()
	if err != nil {
		return tmoperator.ChangeStatus{}, err
	}
	sent := false
	for n := 1; ; n++ {
		status, err := call(client, id)
		if err == nil || isRejected(err) {
			return status, err
		}
		sent = sent || !isDialError(err)
		if n == maxAttempts && !sent {
			return status, fmt.Errorf("no connection to the entry, nothing was sent: %w", err)
		}
		if n == maxAttempts {
			return status, fmt.Errorf("%w, repeat it with --change-id %s: %w", errUnknownOutcome, id, err)
		}
		select {
		case <-ctx.Done():
			return status, fmt.Errorf("%w, repeat it with --change-id %s: %w", errUnknownOutcome, id, ctx.Err())
		case <-time.After(retryDelay):
		}
	}
}

// isDialError reports whether err means that no connection was opened, so that
// nothing was sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// isRejected reports whether err is an API error with a status below 500, which
// guarantees that nothing was stored.
func isRejected(err error) bool {
	var apiErr *tmoperator.APIError
	return errors.As(err, &apiErr) && apiErr.Status < http.StatusInternalServerError
}
