package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards connections to a target. It can silence those that are open: they stay open, and no byte passes any more.
type proxy struct {
	addr   string
	target string

	mu   sync.Mutex
	open map[*pair]bool
}

type pair struct {
	mu     sync.Mutex
	silent bool
	a, b   net.Conn
}

func newProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("proxy: %v", err)
	}
	p := &proxy{addr: l.Addr().String(), target: target, open: map[*pair]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *proxy) serve(c net.Conn) {
	defer c.Close()
	t, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer t.Close()
	x := &pair{a: c, b: t}
	p.mu.Lock()
	p.open[x] = true
	p.mu.Unlock()
	done := make(chan bool, 2)
	go x.copy(t, c, done)
	go x.copy(c, t, done)
	<-done
	x.mu.Lock()
	silent := x.silent
	x.mu.Unlock()
	if silent {
		// The end of one side does not reach the other one either.
		time.Sleep(time.Minute)
	}
	p.mu.Lock()
	delete(p.open, x)
	p.mu.Unlock()
}

func (x *pair) copy(to, from net.Conn, done chan bool) {
	defer func() { done <- true }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		x.mu.Lock()
		silent := x.silent
		x.mu.Unlock()
		if silent {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for x := range p.open {
		x.mu.Lock()
		x.silent = true
		x.mu.Unlock()
	}
	return len(p.open)
}
