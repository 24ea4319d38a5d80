// Package tmcaller speaks HTTP with callers: Handler serves them, Client is
// what the submit command uses.
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
)

// The headers of requests and answers.
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

// maxSize bounds the declared size of a request, in cores.
const maxSize = 1 << 16

// Backend runs requests. It is safe for concurrent use.
type Backend interface {
	// Submit runs r and returns its answer, or the reason why there is none.
	// It returns early with a Cancelled error when ctx ends.
	Submit(ctx context.Context, r tmrequest.Request) (tmrequest.Answer, *tmrequest.Error)
}

// Handler serves callers.
type Handler struct {
	backend Backend
	maxBody int64
	mux     *http.ServeMux
}

// NewHandler returns a Handler that hands requests with bodies of at most
// maxBody bytes to backend. With 0 that is tmrequest.MaxBodyBytes.
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
		"no %s %s here, expected POST /v1/queues/{queue}/requests", r.Method, r.URL.Path))
}

func (h *Handler) serveRequest(w http.ResponseWriter, r *http.Request) {
	req, fail := h.readRequest(w, r)
	if fail != nil {
		writeError(w, req.ID(), fail.ForCaller(req))
		return
	}
	answer, fail := h.backend.Submit(r.Context(), req)
	if fail != nil {
		writeError(w, req.ID(), fail)
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
	// A failed write means that the caller has left; the outcome is recorded
	// already, so there is nobody to tell.
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
	if fail := readFlags(r, &p); fail != nil {
		return tmrequest.New(p), fail
	}
	if fail := readNumbers(r, &p); fail != nil {
		return tmrequest.New(p), fail
	}
	hash, fail := readKey(r)
	if fail != nil {
		return tmrequest.New(p), fail
	}
	p.KeyHash = hash
	body, fail := readBody(w, r, h.maxBody)
	if fail != nil {
		return tmrequest.New(p), fail
	}
	p.Body = body
	return tmrequest.New(p), nil
}

func newRequestID() string {
	id, err := uuid.NewV7()
	if err != nil {
		// Only a broken random source gets here; a version 4 id would fail in
		// the same way.
		return uuid.Nil.String()
	}
	return id.String()
}

func readFlags(r *http.Request, p *tmrequest.Params) *tmrequest.Error {
	flags := []struct {
		header string
		into   *bool
	}{
		{HeaderIdempotent, &p.Idempotent},
		{HeaderUrgent, &p.Urgent},
		{HeaderPreemptible, &p.Preemptible},
	}
	for _, f := range flags {
		switch text := r.Header.Get(f.header); text {
		case "", "false":
		case "true":
			*f.into = true
		default:
			return tmrequest.Refuse(tmrequest.BadRequest, "header %s is %q, expected true or false", f.header, text)
		}
	}
	return nil
}

func readNumbers(r *http.Request, p *tmrequest.Params) *tmrequest.Error {
	timeout, fail := readNumber(r, HeaderTimeout, int(tmrequest.MaxTimeout))
	if fail != nil {
		return fail
	}
	p.Timeout = tmclock.Span(timeout)
	size, fail := readNumber(r, HeaderSize, maxSize)
	p.Size = size
	return fail
}

func readNumber(r *http.Request, header string, most int) (int, *tmrequest.Error) {
	text := r.Header.Get(header)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > most {
		return 0, tmrequest.Refuse(tmrequest.BadRequest, "header %s is %q, expected a whole number from 1 to %d", header, text, most)
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
		return "", tmrequest.Refuse(tmrequest.BadKey, "header Authorization is not of the form: Bearer KEY")
	}
	return tmrequest.HashKey(key), nil
}

func readBody(w http.ResponseWriter, r *http.Request, most int64) ([]byte, *tmrequest.Error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, tmrequest.Refuse(tmrequest.TooLarge, "the body has more than %d bytes", most)
	case err != nil:
		return nil, tmrequest.Refuse(tmrequest.BadRequest, "the body was cut short")
	}
	return body, nil
}
