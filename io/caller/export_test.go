package caller

// The decoders, for fuzzing.

func DecodeStartup(b []byte) (map[string]string, error) { return decodeStartup(b) }

func DecodeBind(b []byte) (values []byte, ok bool) {
	m, ok := decodeBind(b)
	return m.values, ok
}

func DecodeParse(b []byte) (types int, ok bool) {
	m, ok := decodeParse(b)
	return len(m.types), ok
}

func DecodeTarget(b []byte) (name []byte, ok bool) {
	_, name, ok = decodeTarget(b)
	return name, ok
}

func DecodeExecute(b []byte) ([]byte, bool) { return decodeExecute(b) }

func DecodeQuery(b []byte) ([]byte, bool) { return decodeQuery(b) }

func SessionsWithin(files uint64, wanted int) (int, error) { return sessionsWithin(files, wanted) }

// LookAt returns what a statement's prefix shows as verb, name, value and mode.
func LookAt(sql string) [4]string {
	l := lookAt(sql)
	v := string(l.verb)
	if !l.single {
		v += "..."
	}
	return [4]string{v, l.name, l.value, l.readOnly}
}

func StatementName(sql string, types ...uint32) string {
	return statementName([]byte(sql), types)
}
