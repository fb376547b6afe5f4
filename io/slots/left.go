package slots

import (
	"context"
	"encoding/json"
	"strconv"

	"go.uber.org/zap"

	"skylarkdeal/core/failure"
	"skylarkdeal/core/ratelimit"
	"skylarkdeal/io/registry"
)

// leftPart is what comes before a slot's number in the key of the tokens left in it.
const leftPart = "left-"

func (k *Keeper) leftKey(s ratelimit.Slot) string {
	return k.cfg.Prefix + leftPart + strconv.Itoa(int(s))
}

// leave writes what the homes of some slots have left. It is written only while the slots are this host's: carried out
// later, it would give tokens to a holder whose homes have granted them.
func (k *Keeper) leave(ctx context.Context, some ratelimit.SlotSet, left map[ratelimit.Slot]ratelimit.Leftovers) error {
	var t registry.Txn
	for s := range ratelimit.Slot(ratelimit.Slots) {
		if !some.Has(s) || len(left[s]) == 0 {
			continue
		}
		b, err := json.Marshal(left[s])
		if err != nil {
			return err
		}
		t.If = append(t.If, registry.Condition{Key: k.key(s), Revision: k.revisions[s]})
		t.Put = append(t.Put, registry.Put{Key: k.leftKey(s), Value: b})
	}
	if len(t.Put) == 0 {
		return nil
	}
	_, err := k.cfg.Store.Commit(ctx, t)
	return failure.At(err, "leave tokens", "store")
}

// addLeft adds the tokens left in a slot. Without what can't be read its homes start empty.
func (k *Keeper) addLeft(tokens ratelimit.Leftovers, e registry.Entry) {
	var some ratelimit.Leftovers
	if err := json.Unmarshal(e.Value, &some); err != nil {
		k.cfg.Logger.Warn("unreadable tokens of a slot", zap.String("key", e.Key), zap.Error(err))
		return
	}
	for n, t := range some {
		tokens[n] = t
	}
}
