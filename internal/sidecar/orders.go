package sidecar

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/engine"
	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/lease"
	"github.com/nutmegroute/nutmegroute/internal/peer"
	"github.com/nutmegroute/nutmegroute/internal/pipeline"
)

const (
	// orderTimeout bounds each of two operations: the read of the current
	// fencing token, and an order to the engine with the Info request after it.
	orderTimeout = 5 * time.Second
	// orderDrainTimeout bounds the wait for open sequences to end before an
	// order is sent to the engine.
	orderDrainTimeout = time.Minute
)

// errBusy is returned for an order if sequences are still open after
// orderDrainTimeout.
var errBusy = errors.New("sidecar: open sequences did not end in time for the order")

// orderHandler passes orders to the engine, one at a time.
type orderHandler struct {
	engine Engine
	leases lease.Store
	group  string
	stage  *Stage
	health *healthCheck
	log    *events.Logger
	// onDone is called with the engine's new description after a successful order.
	onDone func(engine.Info)

	// mu serializes orders and guards fencingGuard.
	mu           sync.Mutex
	fencingGuard lease.FencingGuard
}

// Handle executes an order in the background and sends its result on c.
func (o *orderHandler) Handle(c *peer.Conn, f *peer.Order) {
	go func() {
		err := o.run(f)
		result := &peer.OrderResult{Number: f.Number, Stale: errors.Is(err, lease.ErrFencingStale)}
		if err != nil {
			result.Error = err.Error()
		}
		o.logResult(f, err)
		_ = c.Send(result)
	}()
}

func (o *orderHandler) logResult(f *peer.Order, err error) {
	event := events.OrderCompleted
	switch {
	case errors.Is(err, lease.ErrFencingStale):
		event = events.OrderFenced
	case err != nil:
		event = events.OrderFailed
	}
	o.log.Log(event).Str("group", f.Group).Uint64("fencing", f.Fencing).Str("version", f.Version).Err(err).Send()
}

// run refuses new sequences, waits for the open ones to end and sends the order
// to the engine. The fencing token is checked again directly before the engine
// is called, because another process may have taken the lease during the wait.
func (o *orderHandler) run(f *peer.Order) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if f.Group != o.group {
		return fmt.Errorf("sidecar: order for group %q reached group %q", f.Group, o.group)
	}
	if err := o.admit(f.Fencing); err != nil {
		return err
	}
	o.stage.SetPaused(true)
	defer o.stage.SetPaused(false)
	if err := o.waitUntilIdle(); err != nil {
		return err
	}
	if err := o.admit(f.Fencing); err != nil {
		return err
	}
	return o.sendToEngine(f)
}

// admit compares an order's fencing token with the current one in the store. It
// rejects every order while the store is unreachable.
func (o *orderHandler) admit(fencing uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	current, err := lease.CurrentFencing(ctx, o.leases, o.group)
	if err != nil {
		return fmt.Errorf("%w: %w", lease.ErrFencingUnknown, err)
	}
	o.fencingGuard.Observe(current)
	return o.fencingGuard.Admit(fencing)
}

func (o *orderHandler) waitUntilIdle() error {
	deadline := time.Now().Add(orderDrainTimeout)
	for o.stage.Len() > 0 {
		if time.Now().After(deadline) {
			return errBusy
		}
		time.Sleep(orderPollInterval)
	}
	return nil
}

func (o *orderHandler) sendToEngine(f *peer.Order) error {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	order := engine.Order{Fencing: f.Fencing, Kind: engine.OrderKind(f.Kind), Version: f.Version}
	if f.Layers != (pipeline.LayerRange{}) {
		order.Layers = &f.Layers
	}
	if err := o.engine.Order(ctx, order); err != nil {
		if errors.Is(err, engine.ErrStaleFencing) {
			return fmt.Errorf("%w: %w", lease.ErrFencingStale, err)
		}
		return err
	}
	info, err := o.engine.Info(ctx)
	if err != nil {
		o.health.requestProbe()
		return err
	}
	o.onDone(info)
	return nil
}
