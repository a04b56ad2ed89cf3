package store

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/rockspoke/rockspoke/pkg/member"
)

// The paths of the protocol; each takes POST with a JSON body.
const (
	pathRead      = "/table/read"
	pathCommit    = "/table/commit"
	pathPutObject = "/objects/put"
	pathGetObject = "/objects/get"
	pathVMs       = "/vms"
	// PathSetVMs replaces the list of VMs; only tests of the system use it.
	PathSetVMs = "/vms/set"
	// PathSetFaults replaces the Faults; only tests of the system use it.
	PathSetFaults = "/faults/set"
)

// maxBody is the size limit of request and response bodies in bytes.
const maxBody = 16 << 20

// readRequest is the body of a request to pathRead.
type readRequest struct {
	Keys []string `json:"keys"`
}

// object is the body of requests to pathPutObject and pathGetObject, and of the latter's response.
type object struct {
	Name string `json:"name"`
	Data []byte `json:"data,omitempty"`
}

// failure is the body of a response whose status isn't 200.
type failure struct {
	Kind     string         `json:"kind"`
	Msg      string         `json:"msg"`
	Conflict *ConflictError `json:"conflict,omitempty"`
}

// The values of failure.Kind.
const (
	failConflict = "conflict"
	failRefused  = "refused"
)

// Server returns a handler that serves a Memory over HTTP, as a simulation of the users' platform.
func Server(m *Memory) http.Handler {
	p := m.Platform()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathRead, serve(func(r *http.Request, in readRequest) (any, error) {
		return p.Read(r.Context(), in.Keys)
	}))
	mux.HandleFunc("POST "+pathCommit, serve(func(r *http.Request, in Tx) (any, error) {
		return struct{}{}, p.Commit(r.Context(), in)
	}))
	mux.HandleFunc("POST "+pathPutObject, serve(func(r *http.Request, in object) (any, error) {
		return struct{}{}, p.PutObject(r.Context(), in.Name, in.Data)
	}))
	mux.HandleFunc("POST "+pathGetObject, serve(func(r *http.Request, in object) (any, error) {
		data, err := p.GetObject(r.Context(), in.Name)
		return object{in.Name, data}, err
	}))
	mux.HandleFunc("POST "+pathVMs, serve(func(r *http.Request, _ struct{}) (any, error) {
		return p.ListVMs(r.Context())
	}))
	mux.HandleFunc("POST "+PathSetVMs, serve(func(_ *http.Request, in []member.VM) (any, error) {
		m.SetVMs(in)
		return struct{}{}, nil
	}))
	mux.HandleFunc("POST "+PathSetFaults, serve(func(_ *http.Request, in Faults) (any, error) {
		m.SetFaults(in)
		return struct{}{}, nil
	}))
	return mux
}

// serve returns a handler that decodes the request body, calls fn, and writes its result or error as JSON.
func serve[In any](fn func(*http.Request, In) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&in); err != nil {
			writeJSON(w, http.StatusBadRequest, failure{Kind: failRefused, Msg: err.Error()})
			return
		}
		out, err := fn(r, in)
		var (
			conflict *ConflictError
			unknown  *UnknownError
		)
		switch {
		case err == nil:
			writeJSON(w, http.StatusOK, out)
		case errors.As(err, &unknown):
			panic(http.ErrAbortHandler) // simulates a lost response by closing the connection
		case errors.As(err, &conflict):
			writeJSON(w, http.StatusConflict, failure{failConflict, err.Error(), conflict})
		default:
			writeJSON(w, http.StatusServiceUnavailable, failure{Kind: failRefused, Msg: err.Error()})
		}
	}
}

// writeJSON writes a response with v as its body.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}
