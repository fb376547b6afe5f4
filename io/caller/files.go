package caller

import (
	"fmt"
	"syscall"
)

// The file descriptors that are kept free of sessions.
const (
	// acceptBacklog is how many connections the kernel may hand over at once,
	// before any of them can be closed as one too many.
	acceptBacklog = 4096
	// otherFiles are for upstream connections, other hosts and the platform.
	otherFiles = 1024
	// fewestSessions is what a host has to have room for to be of use.
	fewestSessions = 16
)

// sessionsWithin returns how many of the wanted sessions a process with that
// limit of file descriptors may have.
//
// When none is left, gnet's accept fails and ends the whole engine: one caller
// that opens connections without end would end the sessions of all. The bound
// keeps the limit out of reach, as the connections above MaxSessions are closed
// as soon as they are accepted.
func sessionsWithin(files uint64, wanted int) (int, error) {
	free := int64(min(files, 1<<31)) - acceptBacklog - otherFiles - connectionSlack
	if free < fewestSessions {
		return 0, fmt.Errorf("the limit of %d open files leaves no room for sessions; raise it above %d",
			files, acceptBacklog+otherFiles+connectionSlack+fewestSessions)
	}
	return min(wanted, int(free)), nil
}

func fileLimit() (uint64, error) {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return 0, err
	}
	return l.Cur, nil
}
