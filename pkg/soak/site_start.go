package soak

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rockspoke/rockspoke/platform/standin"
)

// start starts everything but the callers.
func (s *site) start(ctx context.Context) error {
	storeReal := net.JoinHostPort(s.storeIP, strconv.Itoa(portStoreReal))
	if err := serveHTTP(ctx, &s.openListeners, storeReal, &s.store); err != nil {
		return err
	}
	if err := s.proxy.serve(ctx, &s.openListeners, net.JoinHostPort(s.storeIP, strconv.Itoa(portStore)), storeReal, s.storeIP); err != nil {
		return err
	}
	for _, v := range s.vms {
		if err := v.start(ctx); err != nil {
			return err
		}
	}
	return s.changeState(nil)
}

// start starts a VM's backend server, proxies and process.
func (v *vm) start(ctx context.Context) error {
	if err := serveHTTP(ctx, &v.site.openListeners, v.at(portBackendReal), v.server); err != nil {
		return err
	}
	if err := v.site.proxy.serve(ctx, &v.site.openListeners, v.at(portBackend), v.at(portBackendReal), v.serverLink().to); err != nil {
		return err
	}
	if err := v.site.proxy.serve(ctx, &v.site.openListeners, v.at(portPeers), v.at(portPeersReal), v.ip); err != nil {
		return err
	}
	if err := v.node.start(); err != nil {
		return err
	}
	go v.server.sendHeartbeats(ctx)
	return nil
}

// serveHTTP serves h at addr in the background until ctx ends; openListeners tracks the listener.
func serveHTTP(ctx context.Context, openListeners *sync.WaitGroup, addr string, h http.Handler) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: callerTimeout, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	closeAfter(ctx, openListeners, srv)
	openListeners.Go(func() { _ = srv.Serve(ln) }) // it ends when it is closed, and closes ln
	return nil
}

// closeAfter closes a listener when ctx ends. The next run binds the same address, so this run waits for the close through the wait group.
func closeAfter(ctx context.Context, openListeners *sync.WaitGroup, c io.Closer) {
	openListeners.Add(1)
	context.AfterFunc(ctx, func() {
		defer openListeners.Done()
		_ = c.Close() // it may have been closed before
	})
}

// startTime bounds the start of all nodes.
const startTime = 20 * time.Second

// waitReady waits until every node reports ready, or returns an error after startTime.
func (s *site) waitReady() error {
	for _, v := range s.vms {
		client := clientFrom(v.ip, registerTimeout)
		for end := time.Now().Add(startTime); ; time.Sleep(blockedPollPeriod) {
			res, err := client.Get("http://" + v.at(portControl) + standin.ReadyPath)
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s isn't ready after %v: %w", v.ip, startTime, err)
			}
		}
	}
	return nil
}

// stopNodes kills the processes that the soak started.
func (s *site) stopNodes() {
	s.stopping.Store(true)
	for _, v := range s.vms {
		v.node.killAndCloseLog()
	}
}
