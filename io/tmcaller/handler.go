// Package tmcaller implements the HTTP API for callers: Handler is the server, and
// Client is used by the submit command.
package tmcaller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmonce"
	"turmericmoor/core/tmrequest"
	"turmericmoor/io/tmguard"
)

// The HTTP headers of requests and responses.
const (
	HeaderRequestID   = "Tm-Request-Id"
	HeaderIdempotent  = "Tm-Idempotent"
	HeaderUrgent      = "Tm-Urgent"
	HeaderPreemptible = "Tm-Preemptible"
	HeaderTimeout     = "Tm-Timeout-Ms"
	HeaderSize        = "Tm-Size"
	HeaderOutcome     = "Tm-Outcome"
	HeaderReplayed    = "Tm-Replayed"
)

// maxSize is the maximum declared size of a request in cores.
const maxSize = 1 << 16

// Backend runs requests. It is safe for concurrent use.
type Backend interface {
	// Submit runs r and returns its answer, or the reason why there is none. If
	// ctx is done, it returns early with a Cancelled error.
	Submit(ctx context.Context, r tmrequest.Request) (tmrequest.Answer, *tmrequest.Error)
}

// Handler is the HTTP handler for callers.
type Handler struct {
	backend Backend
	maxBody int64
	mux     *http.ServeMux
}

// NewHandler returns a Handler that passes requests with bodies of at most maxBody
// bytes to backend. If maxBody is 0 or less, the limit is tmrequest.MaxBodyBytes.
func NewHandler(backend Backend, maxBody int64) *Handler {
	if maxBody <= 0 {
		maxBody = tmrequest.MaxBodyBytes
	}
	h := &Handler{backend: backend, maxBody: maxBody, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST /v1/queues/{queue}/requests", h.serveRequest)
	h.mux.HandleFunc("/", h.serveUnknown)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) serveUnknown(w http.ResponseWriter, r *http.Request) {
	writeError(w, "", tmrequest.Refuse(tmrequest.BadRequest,
		"no %s %s in this API, expected POST /v1/queues/{queue}/requests", r.Method, r.URL.Path))
}

func (h *Handler) serveRequest(w http.ResponseWriter, r *http.Request) {
	req, reqErr := h.readRequest(w, r)
	if reqErr != nil {
		writeError(w, req.ID(), reqErr.ForCaller(req))
		return
	}
	answer, reqErr := h.backend.Submit(r.Context(), req)
	if reqErr != nil {
		writeError(w, req.ID(), reqErr)
		return
	}
	header := w.Header()
	header.Set("Content-Type", answer.ContentType())
	header.Set("Content-Length", strconv.Itoa(len(answer.Body())))
	header.Set(HeaderRequestID, req.ID())
	header.Set(HeaderOutcome, tmonce.Ran.String())
	if answer.Replayed() {
		header.Set(HeaderReplayed, "true")
	}
	w.WriteHeader(http.StatusOK)
	// A failed write means that the caller has disconnected. The outcome is already
	// recorded, so the error needs no handling.
	_, _ = w.Write(answer.Body())
}

func (h *Handler) readRequest(w http.ResponseWriter, r *http.Request) (tmrequest.Request, *tmrequest.Error) {
	p := tmrequest.Params{
		ID:          r.Header.Get(HeaderRequestID),
		Queue:       r.PathValue("queue"),
		ContentType: r.Header.Get("Content-Type"),
	}
	p.CallerChoseID = p.ID != ""
	if !p.CallerChoseID {
		p.ID = newRequestID()
	}
	if reqErr := readFlags(r, &p); reqErr != nil {
		return tmrequest.New(p), reqErr
	}
	if reqErr := readNumbers(r, &p); reqErr != nil {
		return tmrequest.New(p), reqErr
	}
	hash, reqErr := readKey(r)
	if reqErr != nil {
		return tmrequest.New(p), reqErr
	}
	p.KeyHash = hash
	body, reqErr := readBody(w, r, h.maxBody)
	if reqErr != nil {
		return tmrequest.New(p), reqErr
	}
	p.Body = body
	return tmrequest.New(p), nil
}

func newRequestID() string {
	id, err := uuid.NewV7()
	if err != nil {
		// NewV7 fails only if the random source fails, and then a version 4 id would
		// fail as well.
		return uuid.Nil.String()
	}
	return id.String()
}

func readFlags(r *http.Request, p *tmrequest.Params) *tmrequest.Error {
	flags := []struct {
		header string
		dst    *bool
	}{
		{HeaderIdempotent, &p.Idempotent},
		{HeaderUrgent, &p.Urgent},
		{HeaderPreemptible, &p.Preemptible},
	}
	for _, f := range flags {
		switch text := r.Header.Get(f.header); text {
		case "", "false":
		case "true":
			*f.dst = true
		default:
			return tmrequest.Refuse(tmrequest.BadRequest, "header %s is %q, expected true or false", f.header, text)
		}
	}
	return nil
}

func readNumbers(r *http.Request, p *tmrequest.Params) *tmrequest.Error {
	timeout, reqErr := readNumber(r, HeaderTimeout, int(tmrequest.MaxTimeout))
	if reqErr != nil {
		return reqErr
	}
	p.Timeout = tmclock.Span(timeout)
	size, reqErr := readNumber(r, HeaderSize, maxSize)
	p.Size = size
	return reqErr
}

func readNumber(r *http.Request, header string, limit int) (int, *tmrequest.Error) {
	text := r.Header.Get(header)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > limit {
		return 0, tmrequest.Refuse(tmrequest.BadRequest, "header %s is %q, expected a whole number from 1 to %d", header, text, limit)
	}
	return n, nil
}

func readKey(r *http.Request) (string, *tmrequest.Error) {
	text := r.Header.Get("Authorization")
	if text == "" {
		return "", nil
	}
	key, ok := strings.CutPrefix(text, "Bearer ")
	if !ok || key == "" {
		return "", tmrequest.Refuse(tmrequest.BadKey, "header Authorization does not have the form: Bearer KEY")
	}
	return tmrequest.HashKey(key), nil
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *tmrequest.Error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, tmrequest.Refuse(tmrequest.TooLarge, "the body has more than %d bytes", limit)
	case errors.Is(err, tmguard.ErrMemory):
		return nil, tmrequest.Refuse(tmrequest.Overloaded, "too many bodies are being read")
	case err != nil:
		return nil, tmrequest.Refuse(tmrequest.BadRequest, "the body could not be read completely")
	}
	return body, nil
}
