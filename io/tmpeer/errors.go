package tmpeer

import (
	"errors"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"
)

// Errors of calls. ErrNotSent, ErrOverloaded and IncarnationError mean that
// the peer's handler has not seen the request and never will; after any other
// error it may have.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("tmpeer: request not sent")
	// ErrOverloaded means that the peer refused the request unseen.
	ErrOverloaded = errors.New("tmpeer: peer is overloaded")
	// ErrSecret means that the other side doesn't know the shared secret.
	ErrSecret = errors.New("tmpeer: peer secret does not match")
	// ErrTooLarge means that a message exceeds the frame size.
	ErrTooLarge = errors.New("tmpeer: message exceeds the frame size")
	// ErrClosed means that the Node or the connection was closed.
	ErrClosed = errors.New("tmpeer: closed")
	// ErrProtocol means that the peer broke the protocol.
	ErrProtocol = errors.New("tmpeer: protocol error")
)

// RemoteError is an error that the peer's handler returned.
type RemoteError struct {
	Message string
}

// Error returns the peer's message.
func (e *RemoteError) Error() string { return "tmpeer: peer answered: " + e.Message }

// IncarnationError means that the address of a member answers as another
// process, so the member is gone.
type IncarnationError struct {
	Expected string
	Found    Identity
}

// Error returns both incarnations.
func (e *IncarnationError) Error() string {
	return fmt.Sprintf("tmpeer: expected incarnation %s, but entry %s answers as %s",
		e.Expected, e.Found.Entry, e.Found.Incarnation)
}

// NotSeen reports whether err proves that the peer's handler has not seen the
// request and never will.
func NotSeen(err error) bool {
	var other *IncarnationError
	return errors.Is(err, ErrNotSent) || errors.Is(err, ErrOverloaded) || errors.As(err, &other)
}

// Codes in the error objects of JSON-RPC, from the range for applications.
const (
	codeNotProven  = -32001
	codeSecret     = -32002
	codeOverloaded = -32003
	codeTooLarge   = -32004
	codeHandler    = -32005
)

// callError turns an error of the layer below into one of this package.
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
	case codeSecret:
		return ErrSecret
	case codeOverloaded:
		return ErrOverloaded
	case codeTooLarge:
		return ErrTooLarge
	case codeHandler:
		return &RemoteError{Message: remote.Message}
	default:
		return fmt.Errorf("%w: %s", ErrProtocol, remote.Message)
	}
}
