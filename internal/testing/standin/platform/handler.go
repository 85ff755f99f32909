package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/base/ids"
	api "github.com/cardamomyoke/cardamomyoke/internal/state/platform"
)

// Paths of the control endpoint, which is for tests and the demo.
const (
	// PathFaults: GET returns the fault switches of all parts, POST replaces those of the parts in the body.
	PathFaults = "/control/faults"
	// PathSetHosts: POST replaces the host list with that of a HostsRequest.
	PathSetHosts = "/control/hosts"
	// PathUsage: GET returns Usage.
	PathUsage = "/control/usage"
)

const maxBody = 64 << 20

// HostsRequest sets the host list, which is published after LagMS milliseconds.
type HostsRequest struct {
	Hosts []api.Host `json:"hosts"`
	LagMS int64      `json:"lag_ms"`
}

// Handler serves the store and its control endpoint over HTTP. For a lost response the connection is closed without one.
func Handler(s *Store) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+api.PathGet, func(w http.ResponseWriter, r *http.Request) {
		serveJSON(w, r, func(in api.GetRequest) (api.RowsResponse, error) {
			rows, err := s.Get(r.Context(), in.Keys...)
			return api.RowsResponse{Rows: rows}, err
		})
	})
	mux.HandleFunc("POST "+api.PathList, func(w http.ResponseWriter, r *http.Request) {
		serveJSON(w, r, func(in api.ListRequest) (api.RowsResponse, error) {
			rows, err := s.List(r.Context(), in.Prefix, in.After, in.Limit)
			return api.RowsResponse{Rows: rows}, err
		})
	})
	mux.HandleFunc("POST "+api.PathCommit, func(w http.ResponseWriter, r *http.Request) {
		serveJSON(w, r, func(in api.Txn) (api.Result, error) { return s.Commit(r.Context(), in) })
	})
	mux.HandleFunc("GET "+api.PathHosts, s.serveHosts)
	mux.HandleFunc("GET "+api.PathWeights+"{group}", s.serveRate)
	mux.HandleFunc("GET "+api.PathObjects+"{name...}", s.serveGetObject)
	mux.HandleFunc("PUT "+api.PathObjects+"{name...}", s.servePutObject)
	mux.HandleFunc("GET "+PathFaults, s.serveFaults)
	mux.HandleFunc("POST "+PathFaults, s.serveSetFaults)
	mux.HandleFunc("POST "+PathSetHosts, s.serveSetHosts)
	mux.HandleFunc("GET "+PathUsage, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Usage()) })
	return mux
}

func serveJSON[In, Out any](w http.ResponseWriter, r *http.Request, do func(In) (Out, error)) {
	var in In
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	out, err := do(in)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, out)
}

func writeJSON(w http.ResponseWriter, status int, out any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out) // fails only if the client has disconnected
}

func writeError(w http.ResponseWriter, err error) {
	var conflict *api.ConflictError
	var unknown *api.UnknownOutcomeError
	var missing *api.NotFoundError
	switch {
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, api.RowsResponse{Rows: conflict.Rows})
	case errors.As(err, &unknown):
		panic(http.ErrAbortHandler) // closes the connection without a response, which the client sees as a lost one
	case errors.As(err, &missing):
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func (s *Store) serveHosts(w http.ResponseWriter, r *http.Request) {
	hosts, age, err := s.Hosts(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, api.HostsResponse{Hosts: hosts, AgeMS: age.Milliseconds()})
}

func (s *Store) serveRate(w http.ResponseWriter, r *http.Request) {
	bps, err := s.Rate(r.Context(), ids.Group(r.PathValue("group")))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, api.RateResponse{BytesPerSecond: bps})
}

func (s *Store) serveGetObject(w http.ResponseWriter, r *http.Request) {
	data, err := s.GetObject(r.Context(), r.PathValue("name"))
	if err != nil {
		writeError(w, err)
		return
	}
	_, _ = w.Write(data) // fails only if the client has disconnected
}

func (s *Store) servePutObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.PutObject(r.Context(), r.PathValue("name"), data); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) serveFaults(w http.ResponseWriter, _ *http.Request) {
	out := map[Part]Faults{}
	for _, p := range []Part{PartTable, PartObjects, PartHosts, PartWeights} {
		out[p] = s.FaultsOf(p)
	}
	writeJSON(w, http.StatusOK, out)
}

func (s *Store) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	serveJSON(w, r, func(in map[Part]Faults) (Usage, error) {
		for p, f := range in {
			s.SetFaults(p, f)
		}
		return s.Usage(), nil
	})
}

func (s *Store) serveSetHosts(w http.ResponseWriter, r *http.Request) {
	serveJSON(w, r, func(in HostsRequest) (Usage, error) {
		s.SetHosts(in.Hosts, time.Duration(in.LagMS)*time.Millisecond)
		return s.Usage(), nil
	})
}
