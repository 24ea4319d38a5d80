package main

import (
	"os"
	"os/signal"
	"syscall"
)

// notifyStop returns a channel that receives the signals that ask the process to stop, and
// notifyHangup one that receives SIGHUP. Each has a channel of its own, because a full one
// drops signals. Both last until the process exits: the default action of a signal that
// arrives during the shutdown would end the process at once.
func notifyStop() <-chan os.Signal { return notify(syscall.SIGTERM, os.Interrupt) }

func notifyHangup() <-chan os.Signal { return notify(syscall.SIGHUP) }

func notify(signals ...os.Signal) <-chan os.Signal {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, signals...)
	return ch
}
