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

// MaxBody bounds the body of a request in bytes. It holds the largest number of
// changes of one request.
const MaxBody = 1 << 20

// server is the http.Handler for operators.
type server struct {
	backend Backend
	keyHash []byte
	log     *log.Logger
	mux     *http.ServeMux
}

// NewHandler returns the handler of the operator listener. The keyHash is the
// SHA-256 of the operator key in hex. The handler is safe for concurrent use.
func NewHandler(backend Backend, keyHash string, logger *log.Logger) (http.Handler, error) {
	hash, err := hex.DecodeString(keyHash)
	if err != nil || len(hash) != sha256.Size {
		return nil, fmt.Errorf("tmoperator: operator key hash has the wrong form, expected a SHA-256 in hex")
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
	s.mux.HandleFunc("/", s.unknownPath)
}

// unknownPath answers in the form of the protocol, which the default of
// http.ServeMux doesn't have.
func (s *server) unknownPath(w http.ResponseWriter, r *http.Request) {
	message := fmt.Sprintf("no %s %s here", r.Method, r.URL.Path)
	s.fail(w, http.StatusNotFound, wireError{Code: "not_found", Message: message})
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		s.getHealth(w, r)
		return
	}
	if !s.authorized(r) {
		w.Header().Set("WWW-Authenticate", "Bearer")
		s.fail(w, http.StatusUnauthorized, wireError{Code: "bad_key", Message: "the operator key is missing or wrong"})
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, MaxBody)
	s.mux.ServeHTTP(w, r)
}

// authorized compares hashes of equal length in constant time, so that the time
// taken says nothing about the key.
func (s *server) authorized(r *http.Request) bool {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	hash := sha256.Sum256([]byte(key))
	return subtle.ConstantTimeCompare(hash[:], s.keyHash) == 1 && ok
}

// answer is a status code with a body that is sent as JSON.
type answer struct {
	code int
	body any
}

func (s *server) handle(pattern string, h func(r *http.Request) (answer, error)) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		a, err := h(r)
		if err != nil {
			s.failWith(w, r, err)
			return
		}
		s.send(w, a.code, a.body)
	})
}

func (s *server) send(w http.ResponseWriter, code int, body any) {
	var buffer bytes.Buffer
	if err := json.NewEncoder(&buffer).Encode(body); err != nil {
		s.log.Error("encode answer", "error", err)
		code = http.StatusInternalServerError
		buffer.Reset()
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	if _, err := w.Write(buffer.Bytes()); err != nil {
		s.log.Debug("send answer", "error", err)
	}
}

func (s *server) fail(w http.ResponseWriter, code int, e wireError) {
	s.send(w, code, wireFailure{Error: e})
}

func (s *server) failWith(w http.ResponseWriter, r *http.Request, err error) {
	var invalid *tmchange.InvalidError
	var conflict *ConflictError
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &invalid):
		s.fail(w, http.StatusBadRequest, wireError{Code: "invalid", Message: "the request is refused", Problems: encodeProblems(invalid.Problems)})
	case errors.As(err, &conflict):
		s.fail(w, http.StatusConflict, wireError{Code: "conflict", Message: messageOf(err), Version: conflict.Version})
	case errors.As(err, &large):
		message := fmt.Sprintf("the body is larger than %d bytes", large.Limit)
		s.fail(w, http.StatusRequestEntityTooLarge, wireError{Code: "too_large", Message: message})
	case errors.Is(err, ErrExists):
		s.fail(w, http.StatusConflict, wireError{Code: "exists", Message: messageOf(err)})
	case errors.Is(err, ErrNotFound):
		s.fail(w, http.StatusNotFound, wireError{Code: "not_found", Message: messageOf(err)})
	case errors.Is(err, ErrStoreUnavailable):
		s.fail(w, http.StatusServiceUnavailable, wireError{Code: "store_unavailable", Message: messageOf(err)})
	case errors.Is(err, ErrNotFresh):
		s.fail(w, http.StatusServiceUnavailable, wireError{Code: "not_fresh", Message: messageOf(err)})
	default:
		s.log.Error("operator request failed", "method", r.Method, "path", r.URL.Path, "error", err)
		s.fail(w, http.StatusInternalServerError, wireError{Code: "internal", Message: err.Error()})
	}
}

// messageOf returns the text of an error without the prefix of this package,
// which the client adds again.
func messageOf(err error) string {
	return strings.TrimPrefix(err.Error(), "tmoperator: ")
}

func readBody(r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, fmt.Errorf("tmoperator: read body: %w", err)
	}
	return data, nil
}

func statusAnswer(status ChangeStatus, err error) (answer, error) {
	if err != nil {
		return answer{}, err
	}
	if !status.InForce {
		return answer{http.StatusAccepted, encodeStatus(status)}, nil
	}
	return answer{http.StatusOK, encodeStatus(status)}, nil
}

func (s *server) getConfig(r *http.Request) (answer, error) {
	state, err := s.backend.State(r.Context())
	if err != nil {
		return answer{}, err
	}
	config, err := tmcodec.EncodeConfig(state.Config(), true)
	if err != nil {
		return answer{}, err
	}
	return answer{http.StatusOK, wireConfig{Version: state.Version(), Config: config}}, nil
}

func (s *server) getHistory(r *http.Request) (answer, error) {
	list, err := s.backend.History(r.Context())
	if err != nil {
		return answer{}, err
	}
	history, err := encodeHistory(list)
	return answer{http.StatusOK, history}, err
}

func (s *server) postChanges(r *http.Request) (answer, error) {
	data, err := readBody(r)
	if err != nil {
		return answer{}, err
	}
	req, err := decodeRequest(data)
	if err != nil {
		return answer{}, err
	}
	return statusAnswer(s.backend.Apply(r.Context(), req))
}

func (s *server) getChange(r *http.Request) (answer, error) {
	return statusAnswer(s.backend.ChangeStatus(r.Context(), r.PathValue("id")))
}

func (s *server) postMove(r *http.Request) (answer, error) {
	data, err := readBody(r)
	if err != nil {
		return answer{}, err
	}
	req, err := decodeMove(data)
	if err != nil {
		return answer{}, err
	}
	return statusAnswer(s.backend.Move(r.Context(), req))
}

func (s *server) postWave(r *http.Request) (answer, error) {
	data, err := readBody(r)
	if err != nil {
		return answer{}, err
	}
	req, err := decodeWaveRequest(data)
	if err != nil {
		return answer{}, err
	}
	return waveAnswer(s.backend.StartWave(r.Context(), req))
}

func waveAnswer(status WaveStatus, err error) (answer, error) {
	return answer{http.StatusOK, encodeWave(status)}, err
}

func (s *server) getWave(r *http.Request) (answer, error) {
	return waveAnswer(s.backend.Wave(r.Context(), r.PathValue("name")))
}

func (s *server) stopWave(r *http.Request) (answer, error) {
	return waveAnswer(s.backend.StopWave(r.Context(), r.PathValue("name")))
}

func (s *server) getWaves(r *http.Request) (answer, error) {
	list, err := s.backend.Waves(r.Context())
	w := wireWaves{Waves: make([]wireWave, 0, len(list))}
	for _, status := range list {
		w.Waves = append(w.Waves, encodeWave(status))
	}
	return answer{http.StatusOK, w}, err
}

func (s *server) getDump(r *http.Request) (answer, error) {
	dump, err := s.backend.Dump(r.Context())
	return answer{http.StatusOK, dump}, err
}

func (s *server) getHealth(w http.ResponseWriter, r *http.Request) {
	if err := s.backend.Healthy(r.Context()); err != nil {
		s.fail(w, http.StatusServiceUnavailable, wireError{Code: "unhealthy", Message: err.Error()})
		return
	}
	s.send(w, http.StatusOK, struct {
		Status string `json:"status"`
	}{"ok"})
}
