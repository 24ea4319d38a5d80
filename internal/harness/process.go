package harness

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// EnvBin is the environment variable that names the directory of the binaries.
const EnvBin = "TM_BIN"

const (
	// stopTimeout is how long a process may take to exit after SIGTERM. The
	// settings bound the graceful shutdown of an entry to 30 s.
	stopTimeout = 35 * time.Second
	// readyTimeout is how long a stand-in may take until it listens.
	readyTimeout = 20 * time.Second
)

// binaryPath returns the path of a program in the directory named by EnvBin.
func binaryPath(name string) (string, error) {
	dir := os.Getenv(EnvBin)
	if dir == "" {
		return "", fmt.Errorf("harness: %s is not set, expected the directory that `make build` fills, for example %s=$PWD/bin", EnvBin, EnvBin)
	}
	path, err := filepath.Abs(filepath.Join(dir, name))
	if err != nil {
		return "", fmt.Errorf("harness: %s: %w", EnvBin, err)
	}
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("harness: %s=%s has no program %s, run `make build` first: %w", EnvBin, dir, name, err)
	}
	return path, nil
}

// Process is a child process started by the harness. It is safe for concurrent
// use.
type Process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	// err is the result of cmd.Wait. It is set before done is closed.
	err error

	mu     sync.Mutex
	paused bool
}

// program describes a process to start.
type program struct {
	name string
	// logFile receives standard error and, except for stand-ins, standard output.
	logFile string
	path    string
	args    []string
	env     []string
	// standin marks a program that prints a line once it listens.
	standin bool
}

// startProcess starts a program. For a stand-in it waits until the program
// listens.
func startProcess(p program) (*Process, error) {
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("harness: %s: %w", p.name, err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.path, p.args...)
	cmd.Env = append(os.Environ(), p.env...)
	cmd.Stderr = log
	if !p.standin {
		cmd.Stdout = log
	}
	// The kernel kills the child when this process exits, even by SIGKILL.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var out io.ReadCloser
	if p.standin {
		if out, err = cmd.StdoutPipe(); err != nil {
			return nil, fmt.Errorf("harness: %s: %w", p.name, err)
		}
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("harness: start %s: %w", p.name, err)
	}
	process := &Process{name: p.name, cmd: cmd, done: make(chan struct{})}
	if p.standin {
		err = waitForLine(out)
	}
	go func() {
		process.err = cmd.Wait()
		close(process.done)
	}()
	if err != nil {
		process.Kill()
		return nil, fmt.Errorf("harness: %s does not listen, its log is %s: %w", p.name, p.logFile, err)
	}
	return process, nil
}

// waitForLine waits for the line that a stand-in prints once it listens.
func waitForLine(out io.ReadCloser) error {
	got := make(chan error, 1)
	go func() {
		_, err := bufio.NewReader(out).ReadBytes('\n')
		got <- err
	}()
	select {
	case err := <-got:
		return err
	case <-time.After(readyTimeout):
		return fmt.Errorf("no line on standard output within %v", readyTimeout)
	}
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	// The process may have exited already, so the error is ignored.
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop sends SIGTERM and waits until the process has exited. It returns an error
// if the process fails. After a timeout it kills the process and returns an error.
func (p *Process) Stop() error {
	if err := p.Resume(); err != nil {
		return err
	}
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
		if p.err != nil {
			return fmt.Errorf("harness: %s: %w", p.name, p.err)
		}
		return nil
	case <-time.After(stopTimeout):
		p.Kill()
		return fmt.Errorf("harness: %s did not stop within %v", p.name, stopTimeout)
	}
}

// Pause suspends the process with SIGSTOP until Resume is called.
func (p *Process) Pause() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = true
	return p.signal(syscall.SIGSTOP)
}

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.paused {
		return nil
	}
	p.paused = false
	return p.signal(syscall.SIGCONT)
}

// Hangup sends SIGHUP, which makes the process reload its settings.
func (p *Process) Hangup() error { return p.signal(syscall.SIGHUP) }

// StartNode starts a node of the users' platform with a settings file. Its output
// goes to logFile.
func StartNode(name, settings, logFile string) (*Process, error) {
	path, err := binaryPath("turmericmoor")
	if err != nil {
		return nil, err
	}
	return startProcess(program{name: name, logFile: logFile, path: path, args: []string{"node", "--config", settings}})
}

// signal sends s and ignores that the process has exited already.
func (p *Process) signal(s os.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("harness: signal %v to %s: %w", s, p.name, err)
	}
	return nil
}
