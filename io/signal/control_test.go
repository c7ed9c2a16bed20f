package signal

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// helperVariable makes the test binary receive signals as a serving process. What it lets the test know it writes to standard error.
const helperVariable = "SHALLOTCLEAT_SIGNAL_HELPER"

func TestMain(m *testing.M) {
	if os.Getenv(helperVariable) != "" {
		if err := receiveSignals(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// receiveSignals sends itself signals from the first line of the program to its last, and writes to a standard output without a reader.
func receiveSignals() error {
	if err := send(syscall.SIGHUP); err != nil {
		return err
	}
	ct := Start()
	reports := make(chan Report, maxHeld)
	ct.Subscribe(func(rp Report) { reports <- rp })
	steps := []struct {
		sig    syscall.Signal
		begins bool
	}{{syscall.SIGHUP, false}, {syscall.SIGHUP, false}, {syscall.SIGTERM, true}, {syscall.SIGHUP, false}, {syscall.SIGTERM, false}, {syscall.SIGINT, false}}
	for i, step := range steps {
		if i > 0 {
			if err := send(step.sig); err != nil {
				return err
			}
		}
		if rp := <-reports; rp.Signal() != step.sig || rp.BeginsStop() != step.begins {
			return fmt.Errorf("step %d: got %v, begins %t", i, rp.Signal(), rp.BeginsStop())
		}
	}
	<-ct.Context().Done()
	ct.Close()
	for range 3 {
		if err := send(syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGPIPE); err != nil {
			return err
		}
		if _, err := os.Stdout.WriteString("a line that nobody reads\n"); err == nil {
			return fmt.Errorf("the standard output has a reader")
		}
	}
	fmt.Fprintln(os.Stderr, "survived")
	return nil
}

func send(signals ...syscall.Signal) error {
	for _, sig := range signals {
		if err := syscall.Kill(os.Getpid(), sig); err != nil {
			return fmt.Errorf("send %v: %w", sig, err)
		}
	}
	return nil
}

// Guards against LOST: SIGHUP before main, during the graceful stop and after it, and a log without a reader, ended a process that was to serve.
func TestSignalsDoNotEndServingProcess(t *testing.T) {
	for _, subcommand := range []string{"entry", "agent", "gate", "tender"} {
		reader, writer, err := os.Pipe()
		if err != nil {
			t.Fatal(err)
		}
		_ = reader.Close()
		var errOut bytes.Buffer
		cmd := exec.Command(os.Args[0], subcommand)
		cmd.Env = append(os.Environ(), helperVariable+"=1")
		cmd.Stdout, cmd.Stderr = writer, &errOut
		if err := cmd.Run(); err != nil || errOut.String() != "survived\n" {
			t.Errorf("%s: %v, %q", subcommand, err, errOut.String())
		}
		_ = writer.Close()
	}
}

// Guards against a tool that outlives its terminal, or the reader of its output: the default actions hold for it.
func TestToolsKeepDefaultActions(t *testing.T) {
	for _, subcommand := range []string{"status", "explain", "apply"} {
		if IsServing(subcommand) {
			t.Errorf("%s counts as serving", subcommand)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	cmd := exec.CommandContext(ctx, os.Args[0], "status")
	cmd.Env = append(os.Environ(), helperVariable+"=1")
	err := cmd.Run()
	ws, ok := cmd.ProcessState.Sys().(syscall.WaitStatus)
	if !ok || !ws.Signaled() || ws.Signal() != syscall.SIGHUP {
		t.Errorf("a tool that gets SIGHUP ended with %v", err)
	}
}
