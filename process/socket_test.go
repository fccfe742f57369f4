package process_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	"wardturn/process"
)

const tcpUserTimeout = 18

func userTimeout(t *testing.T, nc net.Conn) int {
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	ms := 0
	var got error
	if err := raw.Control(func(fd uintptr) {
		ms, got = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
	}); err != nil || got != nil {
		t.Fatal(err, got)
	}
	return ms
}

func TestUserTimeoutOfBothEnds(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	d := net.Dialer{
		Control: process.UserTimeout(1500 * time.Millisecond),
	}
	dialed, err := d.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialed.Close()
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if err := process.SetUserTimeout(accepted, 2500*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	if got := userTimeout(t, dialed); got != 1500 {
		t.Errorf("dialed: %d ms, want 1500", got)
	}
	if got := userTimeout(t, accepted); got != 2500 {
		t.Errorf("accepted: %d ms, want 2500", got)
	}
}
