package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/loopback"
)

// gateway is a process of the deploy file's role "gateway".
type gateway struct {
	name, zone                                              string
	callers, directory, readiness, control, metrics, logged string
	settings                                                string
	cmd                                                     *exec.Cmd
	exited                                                  chan struct{}
}

// settingsTemplate is deploy/gateway.yaml.tmpl, filled in with the bounds of the site arriaga-renta.
const settingsTemplate = `name: %s
data_centre: %s
listen:
  callers: "%s"
  directory: "%s"
  readiness: "%s"
  peers: "%s"
  metrics: "%s"
peers: [%s]
agent_port: "%s"
store: "%s"
limits:
  memory_mb: 284
  file_descriptors: 4100
  cores: 0.4
bounds:
  drain: 2000ms
  grace: 8s
  heartbeat: 1200ms
  stability: 3000ms
  config_apply: 2000ms
  max_keep: 5s
  stall: 1500ms
%s  retries:
    ratio: 0.2
    extra: 90
    window: 10s
log:
  format: logfmt
`

var zones = []string{"churubusco", "vallejo", "santafe"}

// startGateways starts one gateway in each zone with the command of the deploy file, and waits until all are ready.
func (c *testCase) startGateways() error {
	seeds := ""
	for i, zone := range zones {
		g := &gateway{name: fmt.Sprintf("front-%s-1", zone), zone: zone}
		for _, a := range []*string{&g.callers, &g.directory, &g.readiness, &g.control, &g.metrics} {
			*a = loopback.Address()
		}
		if i > 0 {
			seeds += ","
		}
		seeds += fmt.Sprintf("%q", g.control)
		c.gateways = append(c.gateways, g)
	}
	for _, g := range c.gateways {
		text := fmt.Sprintf(settingsTemplate, g.name, g.zone, g.callers, g.directory, g.readiness, g.control, g.metrics, seeds, c.agentPort, c.store.Address(), c.moreBounds)
		g.settings = filepath.Join(c.dir, g.name+".yaml")
		g.logged = filepath.Join(c.dir, g.name+".log")
		if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := g.start(); err != nil {
			return err
		}
	}
	return c.awaitReady()
}

func (g *gateway) start() error {
	out, err := os.OpenFile(g.logged, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.cmd = exec.Command("target/cardamomyoke-gateway", "run")
	g.cmd.Env = append(os.Environ(), "CARDAMOMYOKE_SETTINGS="+g.settings)
	g.cmd.Stdout, g.cmd.Stderr = out, out
	if err := g.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.exited = exited
	cmd := g.cmd
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	return nil
}

func (g *gateway) signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

// NotReadyError reports that a gateway did not become ready in time.
type NotReadyError struct{ Gateway string }

// Error implements error.
func (e *NotReadyError) Error() string { return e.Gateway + " is not ready" }

// awaitReady waits until each gateway calls itself ready.
func (c *testCase) awaitReady() error {
	limit := time.Now().Add(15 * time.Second)
	for _, g := range c.gateways {
		for !g.ready() {
			if time.Now().After(limit) {
				return &NotReadyError{g.name}
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (g *gateway) ready() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + g.readiness + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// stopProcesses ends the processes that this case started.
func (c *testCase) stopProcesses() {
	for _, a := range c.agents {
		_ = a.Process.Kill()
		_ = a.Wait()
	}
	for _, g := range c.gateways {
		if g.cmd == nil || g.cmd.Process == nil {
			continue
		}
		g.signal(syscall.SIGCONT)
		g.signal(syscall.SIGKILL)
		<-g.exited
	}
}
