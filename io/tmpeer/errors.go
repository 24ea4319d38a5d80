package tmpeer

import (
	"errors"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"
)

// Errors of calls. ErrNotSent, ErrOverloaded and IncarnationError mean that
// the peer's handler has not received the request and never will. After any
// other error the handler may have received it.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("tmpeer: request not sent")
	// ErrOverloaded means that the request was rejected, because a limit on
	// requests in flight is reached, before the peer's handler received it.
	ErrOverloaded = errors.New("tmpeer: peer is overloaded")
	// ErrSecretMismatch means that the two sides don't have the same secret.
	ErrSecretMismatch = errors.New("tmpeer: peer secret does not match")
	// ErrTooLarge means that a message exceeds the maximum frame size.
	ErrTooLarge = errors.New("tmpeer: message exceeds the frame size")
	// ErrClosed means that the Node or the connection was closed.
	ErrClosed = errors.New("tmpeer: node or connection is closed")
	// ErrProtocol means that the peer violated the protocol.
	ErrProtocol = errors.New("tmpeer: protocol error")
)

// RemoteError is an error that the peer's handler returned.
type RemoteError struct {
	Message string
}

// Error returns the peer's message.
func (e *RemoteError) Error() string { return "tmpeer: peer returned an error: " + e.Message }

// IncarnationError means that a process other than the expected one answers at the
// address of a member, so the expected process has ended.
type IncarnationError struct {
	Expected string
	Found    Identity
}

// Error names the expected incarnation and the one that answered.
func (e *IncarnationError) Error() string {
	return fmt.Sprintf("tmpeer: expected incarnation %s, but entry %s answers as %s",
		e.Expected, e.Found.Entry, e.Found.Incarnation)
}

// NotProcessed reports whether err proves that the peer's handler has not
// received the request and never will.
func NotProcessed(err error) bool {
	var other *IncarnationError
	return errors.Is(err, ErrNotSent) || errors.Is(err, ErrOverloaded) || errors.As(err, &other)
}

// Codes of JSON-RPC error objects, from the range that JSON-RPC leaves to
// implementations.
const (
	codeUnauthenticated = -32001
	codeSecretMismatch  = -32002
	codeOverloaded      = -32003
	codeTooLarge        = -32004
	codeHandlerError    = -32005
)

// callError converts an error of jsonrpc2 to an error of this package.
func callError(err error) error {
	var remote *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.Is(err, jsonrpc2.ErrClosed):
		return ErrClosed
	case !errors.As(err, &remote):
		return err
	}
	switch remote.Code {
	case codeSecretMismatch:
		return ErrSecretMismatch
	case codeOverloaded:
		return ErrOverloaded
	case codeTooLarge:
		return ErrTooLarge
	case codeHandlerError:
		return &RemoteError{Message: remote.Message}
	default:
		return fmt.Errorf("%w: %s", ErrProtocol, remote.Message)
	}
}
