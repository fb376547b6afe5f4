package serve

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// closeTimeout bounds the end of what no caller waits for.
const closeTimeout = 2 * time.Second

// Shutdown ends the host without cutting a request: no new sessions are taken,
// the balancer is told, requests and transactions in progress end, here and for
// peers, and then what the host holds is given back. What is in progress when
// ctx ends is cut off.
func (h *Host) Shutdown(ctx context.Context) error {
	h.log.Info("host shuts down", zap.String("host", string(h.settings.Host.Name)))
	h.members.Leave(ctx)
	h.announce(ctx)
	err := h.callers.Drain(ctx)
	if e := h.server.Drain(ctx); err == nil {
		err = e
	}
	if e := h.Close(); err == nil {
		err = e
	}
	return err
}

// Close ends the host at once.
func (h *Host) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := h.callers.Close()
	if h.work != nil {
		h.grants.Leave(ctx)
		h.work()
		h.members.Close(ctx)
		h.control()
	}
	h.peers.Close()
	if e := h.server.Close(); err == nil {
		err = e
	}
	_ = h.listener.Close() // closed already once the server has run
	h.duties.Wait()
	if h.operator != nil {
		if e := h.operator.Close(ctx); err == nil {
			err = e
		}
	}
	h.store.Close()
	return err
}
