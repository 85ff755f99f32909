package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Limits bounds one search.
type Limits struct {
	// MemoryMB is the maximum memory of a search.
	MemoryMB int
	// Time is the maximum processor time of a search. It is not wall time, so that the verdict does not depend on the load
	// of the machine.
	Time time.Duration
}

// defaultDepth is the maximum length of a path for runs that set no Depth.
const defaultDepth = 200_000

// Result is the outcome of one search.
type Result struct {
	Verdict Verdict
	States  uint64
	// Elapsed is the total wall time of all commands.
	Elapsed time.Duration
	// Log is the output of spin, gcc or the search, whichever ran last; it is printed if the verdict was not expected.
	Log string
	// Trace is the output of the specification along the counterexample; empty if there is none.
	Trace string
}

// Check runs one search in a new folder below tmp. A search that fails to run is reported as VerdictBroken; an error
// means that its files could not be prepared.
func Check(ctx context.Context, p Plan, r Run, lim Limits, tmp string) (Result, error) {
	dir, err := os.MkdirTemp(tmp, p.Name+"-")
	if err != nil {
		return Result{}, fmt.Errorf("make a folder for %s: %w", r.Name, err)
	}
	defer os.RemoveAll(dir)
	text, err := os.ReadFile(p.Source)
	if err != nil {
		return Result{}, fmt.Errorf("read %s: %w", p.Source, err)
	}
	file := filepath.Base(p.Source)
	if err := os.WriteFile(filepath.Join(dir, file), text, 0o600); err != nil {
		return Result{}, fmt.Errorf("copy %s: %w", p.Source, err)
	}
	ctx, cancel := context.WithTimeout(ctx, wallTimeFactor*lim.Time)
	defer cancel()
	start := time.Now()
	res := searchIn(ctx, dir, file, r, lim)
	res.Elapsed = time.Since(start)
	return res, nil
}

func searchIn(ctx context.Context, dir, file string, r Run, lim Limits) Result {
	macros := defines(r)
	out, err := command(ctx, dir, "spin", append(append([]string{"-a"}, macros...), file)...)
	if err != nil || strings.Contains(out, "Error:") {
		return Result{Verdict: VerdictBroken, Log: out}
	}
	gcc := []string{"-O2", "-w", "-o", "pan", "pan.c", fmt.Sprintf("-DMEMLIM=%d", lim.MemoryMB)}
	res := compileAndRun(ctx, dir, append(gcc, compileFlags(r, true)...), r, lim)
	if res.Verdict == VerdictTruncated && r.Mutant != "" && r.Search == SearchSafety && ctx.Err() == nil {
		// Breadth-first search finds the shortest counterexample but needs more memory than depth-first search.
		res = compileAndRun(ctx, dir, append(gcc, compileFlags(r, false)...), r, lim)
	}
	if _, err := os.Stat(filepath.Join(dir, file+".trail")); err == nil {
		res.Trace, _ = command(ctx, dir, "spin", append(append([]string{"-t", "-T"}, macros...), file)...)
	}
	return res
}

// wallTimeFactor times Limits.Time is the wall time after which the commands of a run are killed, even if the search used
// less processor time.
const wallTimeFactor = 10

func compileAndRun(ctx context.Context, dir string, gcc []string, r Run, lim Limits) Result {
	built, err := command(ctx, dir, "gcc", gcc...)
	if err != nil {
		return Result{Verdict: VerdictBroken, Log: built}
	}
	script := fmt.Sprintf(`ulimit -t %d; exec ./pan "$@"`, int(lim.Time.Seconds()))
	found, err := command(ctx, dir, "sh", append([]string{"-c", script, "pan"}, searchFlags(r)...)...)
	res := classify(found)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || killed(err) {
		res.Verdict = VerdictTruncated
	} else if err != nil && res.Verdict == VerdictHolds {
		res.Verdict = VerdictBroken
	}
	res.Log = found
	return res
}

// killed reports whether a command was terminated by a signal, as happens when it exceeds its processor time.
func killed(err error) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled()
}

func command(ctx context.Context, dir, name string, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, name, args...)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	if err != nil {
		return string(out), fmt.Errorf("%s: %w", name, err)
	}
	return string(out), nil
}

func defines(r Run) []string {
	var flags []string
	if r.Mutant != "" {
		flags = append(flags, "-D"+r.Mutant)
	}
	for _, d := range r.Define {
		flags = append(flags, "-D"+d)
	}
	return flags
}

// compileFlags returns the flags that select the kind of search. The safety search of a mutant is breadth-first if
// breadthFirst is set, since that finds the shortest counterexample.
func compileFlags(r Run, breadthFirst bool) []string {
	switch {
	case r.Search == SearchProgress:
		return []string{"-DNP", "-DCOLLAPSE", "-DVECTORSZ=4096"}
	case r.Search == SearchLTL:
		return []string{"-DCOLLAPSE", "-DVECTORSZ=4096"}
	case r.Mutant != "" && breadthFirst:
		return []string{"-DSAFETY", "-DBFS", "-DVECTORSZ=4096"}
	}
	return []string{"-DSAFETY", "-DCOLLAPSE", "-DVECTORSZ=4096"}
}

func searchFlags(r Run) []string {
	depth := r.Depth
	if depth == 0 {
		depth = defaultDepth
	}
	flags := []string{fmt.Sprintf("-m%d", depth), "-n"}
	switch r.Search {
	case SearchProgress:
		flags = append(flags, "-l", "-f")
	case SearchLTL:
		flags = append(flags, "-a", "-f")
	}
	return flags
}

var (
	storedStates = regexp.MustCompile(`(\d+) states, stored`)
	errorCount   = regexp.MustCompile(`errors: (\d+)`)
)

// truncations holds the messages that a search prints when it was incomplete.
var truncations = []string{
	"max search depth too small", "out of memory", "MEMLIM bound", "memory exhausted", "hash table full", "VECTORSZ",
}

// classify derives the verdict from a search's output. An error that was found counts even if the search was incomplete.
// Without an error, the specification holds only if the search was complete.
func classify(out string) Result {
	res := Result{Verdict: VerdictBroken}
	if m := storedStates.FindStringSubmatch(out); m != nil {
		res.States, _ = strconv.ParseUint(m[1], 10, 64)
	}
	switch {
	case strings.Contains(out, "assertion violated"):
		res.Verdict = VerdictAssertion
		return res
	case strings.Contains(out, "invalid end state (at depth"):
		res.Verdict = VerdictEndState
		return res
	case strings.Contains(out, "non-progress cycle (at depth"), strings.Contains(out, "acceptance cycle (at depth"):
		res.Verdict = VerdictCycle
		return res
	}
	for _, t := range truncations {
		if strings.Contains(out, t) {
			res.Verdict = VerdictTruncated
			return res
		}
	}
	if m := errorCount.FindStringSubmatch(out); m != nil && m[1] == "0" {
		res.Verdict = VerdictHolds
	}
	return res
}
