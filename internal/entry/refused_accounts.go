package entry

import (
	"time"

	"go.uber.org/zap"
)

const (
	// refusalLogInterval is how often accounts over their rate are logged.
	refusalLogInterval = time.Second
	// maxRefusalLogs bounds the accounts that are logged at a time; the others are counted.
	maxRefusalLogs = 10
)

// logRefusedAccounts logs what this host knew of the accounts that it has refused since the last time.
func (h *Host) logRefusedAccounts(now time.Time) {
	if now.Sub(h.refusalsLoggedAt) < refusalLogInterval {
		return
	}
	h.refusalsLoggedAt = now
	refused := h.rates.TakeRefused(now)
	if len(refused) == 0 {
		return
	}
	heard := 0
	for _, p := range h.peers.members(now) {
		if p.Heard {
			heard++
		}
	}
	for _, a := range refused[:min(len(refused), maxRefusalLogs)] {
		fs := append(homeFields(a), zap.String("account", string(a.Account)),
			zap.Float64("rate", a.Rate), zap.Float64("burst", a.Burst),
			zap.Uint64("admitted", a.Admitted), zap.Uint64("refused", a.Refused), zap.Uint64("failures", a.Failures),
			zap.Int("hosts", h.peers.size()), zap.Int("heard", heard),
			zap.Int("waiting", a.Waiting), zap.Int64("tokens", int64(a.Tokens)))
		h.log.Info("account over its rate", fs...)
	}
	if left := len(refused) - maxRefusalLogs; left > 0 {
		h.log.Warn("lines left out", zap.String("kind", "account over its rate"), zap.Int("count", left))
	}
}
