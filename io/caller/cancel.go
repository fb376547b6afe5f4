package caller

import (
	"crypto/subtle"
	"encoding/binary"
)

// cancelRequest ends the exchange in progress of the session that body names by
// its process number and secret. A request that arrives at another host than
// the session's finds no such secret there and does nothing, as PostgreSQL's
// cancel requests may.
func (s *Server) cancelRequest(body []byte) {
	if len(body) != 8 {
		return
	}
	id, key := binary.BigEndian.Uint32(body), body[4:]
	s.mu.Lock()
	x, ok := s.sessions[id]
	s.mu.Unlock()
	if !ok {
		return
	}
	x.post(func(x *session) {
		var own [4]byte
		binary.BigEndian.PutUint32(own[:], x.key)
		if x.phase != phaseReady || x.run == nil || subtle.ConstantTimeCompare(own[:], key) != 1 {
			return
		}
		x.run.cancel()
	})
}
