package tmoperator_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"turmericmoor/core/tmchange"
	"turmericmoor/internal/standin/tmfakebackend"
	"turmericmoor/io/tmoperator"
)

const (
	key     = "example-operator-key"
	keyHash = "4489ff2f9ea96e76d15846c1b6fb8fe5e2831f2433aebb54ccf3be9db7d1418d"
)

func startServer(t *testing.T) (*tmfakebackend.Backend, *tmoperator.Client, string) {
	backend := tmfakebackend.New()
	handler, err := tmoperator.NewHandler(backend, keyHash, log.New(io.Discard))
	assert.NilError(t, err)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client, err := tmoperator.NewClient(server.URL, key, server.Client())
	assert.NilError(t, err)
	return backend, client, server.URL
}

func post(t *testing.T, url, key string, body []byte) (int, string) {
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(data)
}

var addZone = []tmchange.Change{tmchange.AddZone{Name: "z0", Region: "west"}}

// Guards against calls that succeed without the operator key.
func TestWrongKey(t *testing.T) {
	backend, _, url := startServer(t)
	for _, wrong := range []string{"", "x", keyHash, key + "x", key[1:]} {
		code, body := post(t, url+"/v1/config/changes", wrong, []byte(`{"change_id":"a","changes":[{"op":"add_zone","name":"z","region":"r"}]}`))
		assert.Equal(t, code, http.StatusUnauthorized)
		assert.Assert(t, strings.Contains(body, "bad_key"))
	}
	for _, path := range []string{"/metrics", "/v1/dump", "/v1/config", "/v1/waves"} {
		resp, err := http.Get(url + path)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusUnauthorized, path)
	}
	state, _ := backend.State(context.Background())
	assert.Equal(t, state.Version(), uint64(0))
}

// Guards against responses to unknown calls that are not in the error format of
// the protocol, and against messages that repeat the prefix of the package.
func TestUnknownCalls(t *testing.T) {
	_, client, url := startServer(t)
	for _, path := range []string{"/v1/nope", "/v1/config", "/"} {
		code, body := post(t, url+path, key, nil)
		assert.Equal(t, code, http.StatusNotFound, path)
		assert.Assert(t, strings.Contains(body, `{"error":{"code":"not_found","message":"no POST `+path), body)
	}
	_, err := client.ChangeStatus(context.Background(), "c")
	assert.Error(t, err, "tmoperator: not found (not_found, HTTP 404)")
}

// Guards against a request body that exhausts the memory of an entry.
func TestBodyTooLarge(t *testing.T) {
	_, _, url := startServer(t)
	body := append([]byte(`{"change_id":"`), bytes.Repeat([]byte("a"), tmoperator.MaxBodyBytes)...)
	code, text := post(t, url+"/v1/config/changes", key, body)
	assert.Equal(t, code, http.StatusRequestEntityTooLarge)
	assert.Assert(t, strings.Contains(text, "too_large"))
}

// Guards against invalid bodies that are stored, or that are rejected without the
// field and the expected value.
func TestBadBodies(t *testing.T) {
	backend, _, url := startServer(t)
	cases := []struct{ path, body, field, expected string }{
		{"/v1/config/changes", `[`, `"body"`, "a JSON object"},
		{"/v1/config/changes", `{"change_id":"a","changes":[],"x":1}`, `"body"`, "documented fields"},
		{"/v1/config/changes", `{"change_id":"a"} {}`, `"body"`, "one JSON object"},
		{"/v1/config/changes", `{"change_id":"a b","changes":[{"op":"zone_out","name":"z"}]}`, `"change_id"`, "UUID"},
		{"/v1/config/changes", `{"change_id":"a","changes":[]}`, `"changes"`, "at least one"},
		{"/v1/config/changes", `{"change_id":"a","changes":{}}`, `"changes"`, "a list"},
		{"/v1/config/changes", `{"change_id":"a","changes":[1]}`, `"changes[0].op"`, "an object"},
		{"/v1/config/changes", `{"change_id":"a","changes":[{"op":"zone"}]}`, `"changes[0].op"`, "add_instance"},
		{"/v1/config/changes", `{"change_id":"a","changes":[{"op":"zone_out"}]}`, `"changes[0].name"`, "a string"},
		{"/v1/config/changes", `{"change_id":"a","changes":[{"op":"zone_out","name":7}]}`, `"changes[0].name"`, "a string"},
		{"/v1/config/changes", `{"change_id":"a","changes":[{"op":"set_limit","team":"t","limit":1.5}]}`, `"changes[0].limit"`, "a whole number"},
		{"/v1/config/changes", `{"change_id":"a","changes":[{"op":"zone_out","name":"z","pool":"p"}]}`, `"changes[0].pool"`, "only op, name"},
		{"/v1/config/changes", `{"change_id":"a","changes":[{"op":"zone_out","name":"z"}]}`, `"changes[0].name"`, "an existing zone"},
		{"/v1/moves", `{"change_id":"a","instance":"I","pool":"p"}`, `"instance"`, "lower-case"},
		{"/v1/waves", `{"name":"w","pools":[],"reason":""}`, `"pools"`, "at least one"},
		{"/v1/waves", `{"name":"w","pools":["p","p"],"reason":""}`, `"pools[1]"`, "each pool once"},
	}
	for _, c := range cases {
		code, text := post(t, url+c.path, key, []byte(c.body))
		assert.Equal(t, code, http.StatusBadRequest, c.body)
		assert.Assert(t, strings.Contains(text, `"field":`+c.field) && strings.Contains(text, c.expected), "%s: %s", c.body, text)
	}
	state, _ := backend.State(context.Background())
	assert.Equal(t, state.Version(), uint64(0))
}

// Guards against a change that is applied twice when the first response is lost.
func TestRetryOfSameChange(t *testing.T) {
	backend, client, _ := startServer(t)
	ctx := context.Background()
	backend.FailWith(tmoperator.ErrStoreUnavailable)
	_, err := client.Apply(ctx, tmoperator.ChangeRequest{ID: "c1", Changes: addZone})
	var api *tmoperator.APIError
	assert.Assert(t, errors.As(err, &api))
	assert.Equal(t, api.Code, "store_unavailable")
	backend.FailWith(nil)
	status, err := client.Apply(ctx, tmoperator.ChangeRequest{ID: "c1", Changes: addZone})
	assert.NilError(t, err)
	assert.DeepEqual(t, status, tmoperator.ChangeStatus{ID: "c1", Version: 1, InForce: true})
}

// Guards against status codes that differ from the operator protocol.
func TestStatuses(t *testing.T) {
	backend, client, _ := startServer(t)
	ctx := context.Background()
	backend.HoldConfirmations(true)
	status, err := client.Apply(ctx, tmoperator.ChangeRequest{ID: "c1", Changes: addZone})
	assert.NilError(t, err)
	assert.Assert(t, !status.InForce)
	_, err = client.Apply(ctx, tmoperator.ChangeRequest{ID: "c2", BaseVersion: 7, Changes: addZone})
	var api *tmoperator.APIError
	assert.Assert(t, errors.As(err, &api))
	assert.Equal(t, api.Status, http.StatusConflict)
	assert.Equal(t, api.Version, uint64(1))
	_, err = client.ChangeStatus(ctx, "c2")
	assert.ErrorContains(t, err, "not_found")
	config, version, err := client.Config(ctx)
	assert.NilError(t, err)
	assert.Equal(t, version, uint64(1))
	assert.Assert(t, config.Zones().Has("z0"))
	history, err := client.History(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, history[0].Changes, addZone)
}

// Guards against waves whose progress can't be read or that can't be stopped.
func TestWaves(t *testing.T) {
	_, client, _ := startServer(t)
	ctx := context.Background()
	req := tmoperator.WaveRequest{Name: "w1", Pools: []string{"p0"}, Reason: "kernel"}
	_, err := client.StartWave(ctx, req)
	assert.NilError(t, err)
	_, err = client.StartWave(ctx, req)
	assert.ErrorContains(t, err, "exists")
	_, err = client.StopWave(ctx, "w1")
	assert.NilError(t, err)
	wave, err := client.Wave(ctx, "w1")
	assert.NilError(t, err)
	assert.Equal(t, wave.Phase, tmoperator.WaveStopped)
	waves, err := client.Waves(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(waves), 1)
}
