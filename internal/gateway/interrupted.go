package gateway

import (
	"context"
	"errors"
	"net/http"

	"github.com/nutmegroute/nutmegroute/internal/backend"
	"github.com/nutmegroute/nutmegroute/internal/chain"
)

// errInterrupted is the cause of the end of a call's context when a stop interrupts the call.
var errInterrupted = errors.New("gateway: interrupted by the end of a stop")

// interrupted reports whether the end of a stop has interrupted the call.
func (c *call) interrupted() bool { return errors.Is(context.Cause(c.ctx), errInterrupted) }

// endInterrupted ends a call that was interrupted during an exchange with an instance: it is
// refused if it surely has not run. Otherwise the client is told that it may have run, or sees
// that its response is incomplete. The instance is not at fault.
func (c *call) endInterrupted(first chain.Stage, err error) {
	if !errors.Is(err, backend.ErrNotSent) {
		c.recordPossibleRun(first.Instance)
	}
	if len(c.possiblyRanOn) == 0 && c.sentStatus == 0 {
		c.refuseStopping()
		return
	}
	c.g.workInterrupted.Store(true)
	if c.sentStatus != 0 {
		c.cut(errInterrupted.Error())
	}
	c.fail(http.StatusBadGateway, "this gateway stops; the request may have run")
}
