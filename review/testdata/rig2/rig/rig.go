// Package rig starts gateways and agents as separate processes against stand-ins, for the cases of the second review.
package rig

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cardamomyoke/cardamomyoke/internal/testing/loopback"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitFailed = 2
)

// Trouble reports whether the case plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the file with what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file that RECORD names.
func NewRecord() *Record {
	f, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		Fail("record: %v", err)
	}
	return &Record{file: f, began: time.Now()}
}

// Logf writes a line with the time since the start.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Fail ends a case that cannot run.
func Fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	KillAll()
	os.Exit(ExitFailed)
}

var (
	processesMu sync.Mutex
	processes   []*Process
)

// Process is a program of the project.
type Process struct {
	Name    string
	command []string
	env     []string
	log     string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// ends counts the ends of the process that the case did not cause.
	ends   int
	killed bool
}

// StartProcess starts a program with the command of the deploy file.
func StartProcess(name, settings string, command ...string) *Process {
	dir := os.Getenv("CASE_TMP")
	file := filepath.Join(dir, name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		Fail("settings: %v", err)
	}
	p := &Process{Name: name, command: command, env: append(os.Environ(), "CARDAMOMYOKE_SETTINGS="+file), log: filepath.Join(dir, name+".log")}
	processesMu.Lock()
	processes = append(processes, p)
	processesMu.Unlock()
	p.Start()
	return p
}

// Start starts the process unless it runs.
func (p *Process) Start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		Fail("log: %v", err)
	}
	cmd := exec.Command(p.command[0], p.command[1:]...)
	cmd.Env, cmd.Stdout, cmd.Stderr, cmd.Dir = p.env, out, out, os.Getenv("REPOSITORY")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		Fail("start %s: %v", p.Name, err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.killed = cmd, exited, false
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		p.mu.Lock()
		p.cmd = nil
		if !p.killed {
			p.ends++
		}
		p.mu.Unlock()
		close(exited)
	}()
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.killed = true
	}
	_ = p.cmd.Process.Signal(s)
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	<-exited
}

// Ends returns how often the process ended by itself.
func (p *Process) Ends() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ends
}

// MemoryKB returns the anonymous resident memory of the process, which has none of its program file, in KB; 0 if it does not run.
func (p *Process) MemoryKB() int {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return 0
	}
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) > 1 && fields[0] == "RssAnon:" {
			n, _ := strconv.Atoi(fields[1])
			return n
		}
	}
	return 0
}

// KillAll ends all processes.
func KillAll() {
	processesMu.Lock()
	list := processes
	processesMu.Unlock()
	for _, p := range list {
		p.mu.Lock()
		running := p.cmd != nil
		p.mu.Unlock()
		if running {
			p.Kill()
		}
	}
}

// Gateway is a gateway process and its addresses.
type Gateway struct {
	*Process
	Callers, Directory, Readiness, Peers, Metrics string
}

// StartGateways starts gateways with settings as the deploy file's template gives them for a small deployment.
func StartGateways(n int, store, agentPort string) []*Gateway {
	list := make([]*Gateway, n)
	var peers []string
	for i := range list {
		g := &Gateway{}
		for _, a := range []*string{&g.Callers, &g.Directory, &g.Readiness, &g.Peers, &g.Metrics} {
			*a = loopback.Address()
		}
		list[i] = g
		if i < 3 {
			peers = append(peers, strconv.Quote(g.Peers))
		}
	}
	for i, g := range list {
		name := fmt.Sprintf("front-%d", i+1)
		g.Process = StartProcess(name, settings(name, g, strings.Join(peers, ","), store, agentPort), "target/cardamomyoke-gateway", "run")
	}
	return list
}

func settings(name string, g *Gateway, peers, store, agentPort string) string {
	return fmt.Sprintf(`name: %s
data_centre: a
listen:
  callers: %q
  directory: %q
  readiness: %q
  peers: %q
  metrics: %q
peers: [%s]
agent_port: %q
store: %q
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
  retries:
    ratio: 0.2
    extra: 90
    window: 10s
log:
  format: logfmt
`, name, g.Callers, g.Directory, g.Readiness, g.Peers, g.Metrics, peers, agentPort, store)
}

// AwaitReady waits until the gateway says that it is ready.
func (g *Gateway) AwaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.Ready() {
			return true
		}
	}
	return false
}

var readinessClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Ready reports whether the gateway answers its readiness check with 200.
func (g *Gateway) Ready() bool {
	res, err := readinessClient.Get("http://" + g.Readiness + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Answer is what a client got.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Err is set if there is no complete answer.
	Err error
}

// String returns a short description.
func (a Answer) String() string {
	if a.Err != nil && a.Status == 0 {
		return "no answer: " + a.Err.Error()
	}
	if a.Err != nil {
		return fmt.Sprintf("%d, broken off after %d bytes: %v", a.Status, len(a.Body), a.Err)
	}
	return fmt.Sprintf("%d, seal %q, %d bytes", a.Status, a.Header.Get("Response-Seal"), len(a.Body))
}

// Host is the host of all routes, Key the key of the tenant Tenant.
const (
	Host   = "h.example"
	Key    = "key-1"
	Tenant = "tenant-1"
)

// Request is the head of a request with the usual fields.
func Request(method, target, attempt string, remaining time.Duration, extra ...string) string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Remaining: %d\r\nAuthorization: Bearer %s\r\n", method, target, Host, attempt, remaining.Milliseconds(), Key)
	for _, line := range extra {
		head += line + "\r\n"
	}
	return head + "\r\n"
}

// Exchange sends raw bytes on a new connection and reads one answer.
func Exchange(address, raw string, limit time.Duration) Answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(c, raw); err != nil {
		return Answer{Err: err}
	}
	return ReadAnswer(bufio.NewReader(c))
}

// ReadAnswer reads one answer.
func ReadAnswer(in *bufio.Reader) Answer {
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(res.Body)
	return Answer{Status: res.StatusCode, Header: res.Header, Body: string(body), Err: err}
}

// ErrTimeout reports whether an error is that of a deadline.
func ErrTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// Route returns a route of a configuration.
func Route(prefix, kind, service string, resumable bool) map[string]any {
	return map[string]any{
		"name": strings.Trim(prefix, "/"), "host": Host, "prefix": prefix, "kind": kind, "timeout_ms": 8000, "target_latency_ms": 400,
		"target_gap_ms": 120, "priority": 1, "service": service, "attempts": 2, "resumable": resumable,
	}
}

// Configuration returns a configuration.
func Configuration(version int, routes []map[string]any, services ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": Tenant, "api_keys": []string{Key}}},
	}
}

// Log returns the path of the process's log.
func (p *Process) Log() string { return p.log }
