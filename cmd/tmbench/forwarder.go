package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

// forwarderCommand is a process that only passes calls on with net/http. It is
// the least that any process between callers and endpoints costs.
func forwarderCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "forwarder TARGET",
		Short:  "Pass calls on to an address, as a baseline",
		Hidden: true,
		Args:   cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return err
			}
			if _, err := fmt.Fprintln(cmd.OutOrStdout(), listener.Addr()); err != nil {
				return err
			}
			server := &http.Server{Handler: newForwarder(args[0]), ReadHeaderTimeout: 10 * time.Second}
			stop := context.AfterFunc(cmd.Context(), func() { _ = server.Close() })
			defer stop()
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		},
	}
}

func newForwarder(target string) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: latencySlots}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+target+r.URL.Path, bytes.NewReader(body))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out.Header = r.Header.Clone()
		resp, err := transport.RoundTrip(out)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		answer, err := io.ReadAll(resp.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		w.WriteHeader(resp.StatusCode)
		// A failed write means that the caller has left.
		_, _ = w.Write(answer)
	})
}

// startForwarder starts this program as a forwarder and returns its address.
func startForwarder(target string) (address string, stop func(), err error) {
	self, err := os.Executable()
	if err != nil {
		return "", nil, err
	}
	cmd := exec.Command(self, "forwarder", target)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return "", nil, err
	}
	if err := cmd.Start(); err != nil {
		return "", nil, err
	}
	stop = func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		stop()
		return "", nil, fmt.Errorf("forwarder: %w", err)
	}
	return strings.TrimSpace(line), stop, nil
}
