package sidecar

import (
	"context"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

// worker is the part of a sidecar that depends on the kind of its upstream:
// engineWorker for a model engine, serviceWorker for a plain service.
type worker interface {
	// descriptor describes the upstream.
	descriptor() upstream.Descriptor
	// run processes work until ctx ends.
	run(ctx context.Context)
	// handle handles a frame. It returns false for a type that it doesn't know.
	handle(c *peer.Conn, f peer.Frame) bool
	// disconnected is called when a connection has ended.
	disconnected(c *peer.Conn)
	// refuseNewWork makes the worker refuse new work. It does not wait for the work
	// in progress.
	refuseNewWork()
	// idle reports whether no work is in progress.
	idle() bool
	// healthy reports whether the upstream answered the last health check.
	healthy() bool
	// setWeight sets a team's weight in the fair queue.
	setWeight(team string, weight float64)
	// load returns the load of the upstream and of each team.
	load() (upstream.Load, []peer.TeamLoad)
}

// engineWorker serves a model engine.
type engineWorker struct {
	scheduler *scheduler
	stage     *Stage
	health    *healthCheck
	orders    *orderHandler
}

func (w *engineWorker) descriptor() upstream.Descriptor { return w.scheduler.descriptor() }

func (w *engineWorker) run(ctx context.Context) {
	go w.sweepLoop(ctx)
	go w.health.Run(ctx)
	w.scheduler.Run(ctx)
}

func (w *engineWorker) sweepLoop(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.stage.RemoveExpired()
		case <-ctx.Done():
			return
		}
	}
}

func (w *engineWorker) handle(c *peer.Conn, f peer.Frame) bool {
	switch f := f.(type) {
	case *peer.OpenSequence:
		w.stage.Open(c, f)
	case *peer.ResumeSequence:
		w.stage.Resume(f)
	case *peer.Step:
		w.stage.HandleStep(f)
	case *peer.CloseSequence:
		w.stage.Close(f)
	case *peer.Order:
		w.orders.Handle(c, f)
	default:
		return false
	}
	return true
}

func (w *engineWorker) disconnected(c *peer.Conn) { w.stage.Disconnected(c, c.DialedAddress()) }

func (w *engineWorker) healthy() bool { return w.health.healthy() }

func (w *engineWorker) setWeight(team string, weight float64) { w.scheduler.setWeight(team, weight) }

func (w *engineWorker) refuseNewWork() { w.stage.Drain() }

func (w *engineWorker) idle() bool { return w.stage.Len() == 0 }

func (w *engineWorker) load() (upstream.Load, []peer.TeamLoad) {
	load, teams := w.scheduler.load()
	load.Sequences = w.stage.Len()
	return load, teams
}

// serviceWorker serves a plain service.
type serviceWorker struct {
	desc   upstream.Descriptor
	calls  *callRunner
	health *healthCheck
}

func (w *serviceWorker) descriptor() upstream.Descriptor { return w.desc }

func (w *serviceWorker) run(ctx context.Context) { w.health.Run(ctx) }

func (w *serviceWorker) healthy() bool { return w.health.healthy() }

func (w *serviceWorker) handle(c *peer.Conn, f peer.Frame) bool {
	switch f := f.(type) {
	case *peer.Call:
		w.calls.Start(c, f)
	case *peer.CancelCall:
		w.calls.Cancel(f)
	default:
		return false
	}
	return true
}

func (w *serviceWorker) disconnected(*peer.Conn) {}

func (w *serviceWorker) setWeight(team string, weight float64) { w.calls.queue.setWeight(team, weight) }

func (w *serviceWorker) refuseNewWork() { w.calls.Drain() }

func (w *serviceWorker) idle() bool { return w.calls.Len() == 0 }

func (w *serviceWorker) load() (upstream.Load, []peer.TeamLoad) {
	return w.calls.load()
}
