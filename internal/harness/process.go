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

// EnvBin names the directory with the binaries.
const EnvBin = "TM_BIN"

const (
	// stopTime is how long a process may take to end after SIGTERM. A graceful
	// shutdown of an entry takes at most 30 s by its settings.
	stopTime = 35 * time.Second
	// readyTime is how long a stand-in may take to listen.
	readyTime = 20 * time.Second
)

// binary returns the path of a program in the directory that EnvBin names.
func binary(name string) (string, error) {
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

// Process is a process that the harness started. It is safe for concurrent use.
type Process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	// err is the result of the process. It is set before done is closed.
	err error

	mu     sync.Mutex
	paused bool
}

// program says how to start a process.
type program struct {
	name string
	// logFile takes the standard error, and the standard output but of stand-ins.
	logFile string
	path    string
	args    []string
	env     []string
	// standin is set for programs that print a line when they listen.
	standin bool
}

// start starts a program. For a stand-in it waits until the program listens.
func start(p program) (*Process, error) {
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
	// The process ends with this one, also when this one is killed.
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

// waitForLine waits for the line that a stand-in prints when it listens.
func waitForLine(out io.ReadCloser) error {
	got := make(chan error, 1)
	go func() {
		_, err := bufio.NewReader(out).ReadBytes('\n')
		got <- err
	}()
	select {
	case err := <-got:
		return err
	case <-time.After(readyTime):
		return fmt.Errorf("no line within %v", readyTime)
	}
}

// PID returns the id of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	// The process may have ended by itself.
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop shuts the process down gracefully and waits for its end. It returns an
// error when the process fails or takes too long; it is killed then.
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
	case <-time.After(stopTime):
		p.Kill()
		return fmt.Errorf("harness: %s did not stop within %v", p.name, stopTime)
	}
}

// Pause stops the process with SIGSTOP until Resume.
func (p *Process) Pause() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = true
	return p.signal(syscall.SIGSTOP)
}

// Resume lets a paused process go on.
func (p *Process) Resume() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.paused {
		return nil
	}
	p.paused = false
	return p.signal(syscall.SIGCONT)
}

// Hangup sends SIGHUP, on which a process reads its settings again.
func (p *Process) Hangup() error { return p.signal(syscall.SIGHUP) }

// StartNode starts a node of the users' platform with a settings file. What it writes
// goes to logFile.
func StartNode(name, settings, logFile string) (*Process, error) {
	path, err := binary("turmericmoor")
	if err != nil {
		return nil, err
	}
	return start(program{name: name, logFile: logFile, path: path, args: []string{"node", "--config", settings}})
}

func (p *Process) signal(s os.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("harness: signal %v to %s: %w", s, p.name, err)
	}
	return nil
}
