package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/rockspoke/rockspoke/pkg/member"
)

// HTTP is a client of the JSON protocol of Server.
type HTTP struct {
	URL    string       // base, as in http://127.0.0.1:7000
	Client *http.Client // nil means http.DefaultClient
}

// Platform returns functions that make their calls over HTTP.
func (h HTTP) Platform() Platform {
	return Platform{
		Read: func(ctx context.Context, keys []string) (map[string]Row, error) {
			out := map[string]Row{}
			return out, h.call(ctx, pathRead, readRequest{keys}, &out)
		},
		Commit: func(ctx context.Context, tx Tx) error {
			return h.call(ctx, pathCommit, tx, &struct{}{})
		},
		PutObject: func(ctx context.Context, name string, data []byte) error {
			return h.call(ctx, pathPutObject, object{name, data}, &struct{}{})
		},
		GetObject: func(ctx context.Context, name string) ([]byte, error) {
			var out object
			err := h.call(ctx, pathGetObject, object{Name: name}, &out)
			return out.Data, err
		},
		ListVMs: func(ctx context.Context) ([]member.VM, error) {
			var out []member.VM
			return out, h.call(ctx, pathVMs, struct{}{}, &out)
		},
	}
}

// call posts in as JSON and decodes the response into out; the error is a *ConflictError, *RefusedError or *UnknownError.
func (h HTTP) call(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return &RefusedError{err.Error()}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.URL+path, bytes.NewReader(body))
	if err != nil {
		return &RefusedError{err.Error()}
	}
	client := h.Client
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return classifyError(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return &UnknownError{err}
	}
	if resp.StatusCode != http.StatusOK {
		return decodeFailure(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &UnknownError{err}
	}
	return nil
}

// classifyError returns a *RefusedError if the connection failed, so that the call had no effect, and an *UnknownError otherwise.
func classifyError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &RefusedError{err.Error()}
	}
	return &UnknownError{err}
}

// decodeFailure returns the error in the body of a response whose status isn't 200.
func decodeFailure(status int, data []byte) error {
	var f failure
	if err := json.Unmarshal(data, &f); err != nil {
		return &UnknownError{fmt.Errorf("status %d without a valid error body", status)}
	}
	if f.Kind == failConflict && f.Conflict != nil {
		return f.Conflict
	}
	return &RefusedError{f.Msg}
}
