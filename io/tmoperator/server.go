package tmoperator

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/charmbracelet/log"

	"turmericmoor/core/tmchange"
	"turmericmoor/io/tmcodec"
)

// MaxBodyBytes is the maximum length of a request body. It is large enough for the
// maximum number of changes in one request.
const MaxBodyBytes = 1 << 20

// server implements http.Handler for operators.
type server struct {
	backend Backend
	keyHash []byte
	log     *log.Logger
	mux     *http.ServeMux
}

// NewHandler returns the HTTP handler for operators. The keyHash is the SHA-256 of
// the operator key in hex. The handler is safe for concurrent use.
func NewHandler(backend Backend, keyHash string, logger *log.Logger) (http.Handler, error) {
	hash, err := hex.DecodeString(keyHash)
	if err != nil || len(hash) != sha256.Size {
		return nil, fmt.Errorf("tmoperator: operator key hash is invalid, expected a SHA-256 in hex")
	}
	s := &server{backend: backend, keyHash: hash, log: logger, mux: http.NewServeMux()}
	s.routes()
	return s, nil
}

func (s *server) routes() {
	s.handle("GET /v1/config", s.getConfig)
	s.handle("GET /v1/config/history", s.getHistory)
	s.handle("POST /v1/config/changes", s.postChanges)
	s.handle("GET /v1/config/changes/{id}", s.getChange)
	s.handle("POST /v1/moves", s.postMove)
	s.handle("POST /v1/waves", s.postWave)
	s.handle("GET /v1/waves", s.getWaves)
	s.handle("GET /v1/waves/{name}", s.getWave)
	s.handle("POST /v1/waves/{name}/stop", s.stopWave)
	s.handle("GET /v1/dump", s.getDump)
	s.mux.Handle("GET /metrics", s.backend.Metrics())
	s.mux.HandleFunc("/", s.handleUnknownPath)
}

// handleUnknownPath sends a 404 in the error format of the protocol, which differs
// from the default response of http.ServeMux.
func (s *server) handleUnknownPath(w http.ResponseWriter, r *http.Request) {
	message := fmt.Sprintf("no %s %s in this API", r.Method, r.URL.Path)
	s.sendError(w, http.StatusNotFound, wireError{Code: "not_found", Message: message})
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		s.getHealth(w, r)
		return
	}
	if !s.authorized(r) {
		w.Header().Set("WWW-Authenticate", "Bearer")
		s.sendError(w, http.StatusUnauthorized, wireError{Code: "bad_key", Message: "the operator key is missing or wrong"})
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
	s.mux.ServeHTTP(w, r)
}

// authorized reports whether the request has the operator key. It compares hashes
// of equal length in constant time, so that the response time reveals nothing
// about the key.
func (s *server) authorized(r *http.Request) bool {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	hash := sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare(hash[:], s.keyHash) == 1 && ok
}

// response is a status code with a body to be sent as JSON.
type response struct {
	code int
	body any
}

func (s *server) handle(pattern string, h func(r *http.Request) (response, error)) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		resp, err := h(r)
		if err != nil {
			s.sendErrorFor(w, r, err)
			return
		}
		s.sendJSON(w, resp.code, resp.body)
	})
}

func (s *server) sendJSON(w http.ResponseWriter, code int, body any) {
	var buffer bytes.Buffer
	if err := json.NewEncoder(&buffer).Encode(body); err != nil {
		s.log.Error("encode response", "error", err)
		code = http.StatusInternalServerError
		buffer.Reset()
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	if _, err := w.Write(buffer.Bytes()); err != nil {
		s.log.Debug("send response", "error", err)
	}
}

func (s *server) sendError(w http.ResponseWriter, code int, e wireError) {
	s.sendJSON(w, code, wireErrorBody{Error: e})
}

func (s *server) sendErrorFor(w http.ResponseWriter, r *http.Request, err error) {
	var invalid *tmchange.InvalidError
	var conflict *ConflictError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &invalid):
		s.sendError(w, http.StatusBadRequest, wireError{Code: "invalid", Message: "the request is invalid", Problems: encodeProblems(invalid.Problems)})
	case errors.As(err, &conflict):
		s.sendError(w, http.StatusConflict, wireError{Code: "conflict", Message: errorMessage(err), Version: conflict.Version})
	case errors.As(err, &tooLarge):
		message := fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit)
		s.sendError(w, http.StatusRequestEntityTooLarge, wireError{Code: "too_large", Message: message})
	case errors.Is(err, ErrExists):
		s.sendError(w, http.StatusConflict, wireError{Code: "exists", Message: errorMessage(err)})
	case errors.Is(err, ErrNotFound):
		s.sendError(w, http.StatusNotFound, wireError{Code: "not_found", Message: errorMessage(err)})
	case errors.Is(err, ErrStoreUnavailable):
		s.sendError(w, http.StatusServiceUnavailable, wireError{Code: "store_unavailable", Message: errorMessage(err)})
	case errors.Is(err, ErrNotFresh):
		s.sendError(w, http.StatusServiceUnavailable, wireError{Code: "not_fresh", Message: errorMessage(err)})
	default:
		s.log.Error("operator request failed", "method", r.Method, "path", r.URL.Path, "error", err)
		s.sendError(w, http.StatusInternalServerError, wireError{Code: "internal", Message: err.Error()})
	}
}

// errorMessage returns the text of err without the prefix of this package, because
// APIError adds the prefix again.
func errorMessage(err error) string {
	return strings.TrimPrefix(err.Error(), "tmoperator: ")
}

func readBody(r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, fmt.Errorf("tmoperator: read body: %w", err)
	}
	return data, nil
}

func statusResponse(status ChangeStatus, err error) (response, error) {
	if err != nil {
		return response{}, err
	}
	if !status.InForce {
		return response{http.StatusAccepted, encodeStatus(status)}, nil
	}
	return response{http.StatusOK, encodeStatus(status)}, nil
}

func (s *server) getConfig(r *http.Request) (response, error) {
	state, err := s.backend.State(r.Context())
	if err != nil {
		return response{}, err
	}
	config, err := tmcodec.EncodeConfig(state.Config(), true)
	if err != nil {
		return response{}, err
	}
	return response{http.StatusOK, wireConfig{Version: state.Version(), Config: config}}, nil
}

func (s *server) getHistory(r *http.Request) (response, error) {
	list, err := s.backend.History(r.Context())
	if err != nil {
		return response{}, err
	}
	history, err := encodeHistory(list)
	return response{http.StatusOK, history}, err
}

func (s *server) postChanges(r *http.Request) (response, error) {
	data, err := readBody(r)
	if err != nil {
		return response{}, err
	}
	req, err := decodeChangeRequest(data)
	if err != nil {
		return response{}, err
	}
	return statusResponse(s.backend.Apply(r.Context(), req))
}

func (s *server) getChange(r *http.Request) (response, error) {
	return statusResponse(s.backend.ChangeStatus(r.Context(), r.PathValue("id")))
}

func (s *server) postMove(r *http.Request) (response, error) {
	data, err := readBody(r)
	if err != nil {
		return response{}, err
	}
	req, err := decodeMove(data)
	if err != nil {
		return response{}, err
	}
	return statusResponse(s.backend.Move(r.Context(), req))
}

func (s *server) postWave(r *http.Request) (response, error) {
	data, err := readBody(r)
	if err != nil {
		return response{}, err
	}
	req, err := decodeWaveRequest(data)
	if err != nil {
		return response{}, err
	}
	return waveResponse(s.backend.StartWave(r.Context(), req))
}

func waveResponse(status WaveStatus, err error) (response, error) {
	return response{http.StatusOK, encodeWave(status)}, err
}

func (s *server) getWave(r *http.Request) (response, error) {
	return waveResponse(s.backend.Wave(r.Context(), r.PathValue("name")))
}

func (s *server) stopWave(r *http.Request) (response, error) {
	return waveResponse(s.backend.StopWave(r.Context(), r.PathValue("name")))
}

func (s *server) getWaves(r *http.Request) (response, error) {
	list, err := s.backend.Waves(r.Context())
	w := wireWaves{Waves: make([]wireWave, 0, len(list))}
	for _, status := range list {
		w.Waves = append(w.Waves, encodeWave(status))
	}
	return response{http.StatusOK, w}, err
}

func (s *server) getDump(r *http.Request) (response, error) {
	dump, err := s.backend.Dump(r.Context())
	return response{http.StatusOK, dump}, err
}

func (s *server) getHealth(w http.ResponseWriter, r *http.Request) {
	if err := s.backend.Healthy(r.Context()); err != nil {
		s.sendError(w, http.StatusServiceUnavailable, wireError{Code: "unhealthy", Message: err.Error()})
		return
	}
	s.sendJSON(w, http.StatusOK, struct {
		Status string `json:"status"`
	}{"ok"})
}
