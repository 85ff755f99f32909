// Package controlport provides the control port, which daemons open in addition to the port for traffic. It serves RPC,
// metrics and health checks.
package controlport

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/cardamomyoke/cardamomyoke/internal/base/keys"
)

// Port is the control port of a daemon.
type Port struct {
	Mux    *http.ServeMux
	server *http.Server
}

// headerTimeout limits how long reading a request's header may take on the control port.
const headerTimeout = 5 * time.Second

// Start serves mux on address, and adds /metrics, with the metrics of set and of the process, and /healthz to it. If
// source is not nil, the listener accepts only TLS, from clients with a valid certificate; otherwise it is not encrypted.
func Start(address string, mux *http.ServeMux, set *metrics.Set, source *keys.Source, logger log.Logger) (*Port, error) {
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("control port: %w", err)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	var handler http.Handler = mux
	if source != nil {
		protocols.SetHTTP2(true)
		listener = tls.NewListener(listener, source.Server())
		handler = keys.Authorize(mux)
	} else {
		protocols.SetUnencryptedHTTP2(true)
	}
	p := &Port{Mux: mux, server: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, Protocols: protocols}}
	go func() {
		if err := p.server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			_ = level.Error(logger).Log("msg", "control listener ended", "err", err)
		}
	}()
	return p, nil
}

// callTime is how long running calls may take to end once the port stops.
const callTime = 100 * time.Millisecond

// Stop closes the listener, lets running calls end within callTime, and closes what is left.
func (p *Port) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	if p.server.Shutdown(ctx) != nil {
		_ = p.server.Close()
	}
}
