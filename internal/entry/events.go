package entry

import (
	"go.uber.org/zap"

	"skylarkdeal/core/relay"
)

// events writes the relay's decisions to the log.
type events struct {
	log *zap.Logger
}

func (e *events) note(n relay.Event) {
	f := make([]zap.Field, 0, 12)
	add := func(name, v string) {
		if v != "" {
			f = append(f, zap.String(name, v))
		}
	}
	add("id", string(n.ID))
	add("database", string(n.Database))
	add("service", string(n.Service))
	add("account", string(n.Account))
	add("instance", string(n.Instance))
	add("over", string(n.Host))
	add("choice", n.Choice)
	add("reason", n.Reason)
	add("code", string(n.Code))
	if n.Term != 0 {
		f = append(f, zap.Uint64("term", uint64(n.Term)))
	}
	if !n.Need.IsZero() {
		f = append(f, zap.String("need", n.Need.String()))
	}
	if !n.Has.IsZero() {
		f = append(f, zap.String("has", n.Has.String()))
	}
	if n.Age != 0 {
		f = append(f, zap.Duration("age", n.Age))
	}
	if n.Took != 0 {
		f = append(f, zap.Duration("took", n.Took))
	}
	e.log.Info(string(n.Kind), f...)
}
