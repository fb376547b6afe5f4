package soak_test

import (
	"encoding/binary"
	"fmt"
	"net"
	"syscall"
)

// The kernel's question for one socket, as its sock_diag interface lays it out.
const (
	netlinkSockDiag  = 4
	sockDiagByFamily = 20
	headerBytes      = 16
	requestBytes     = 56
	// idAt and inodeAt are offsets after the header, in the request and in the answer.
	idAt    = 8
	inodeAt = 68
	// anyCookie stands for whichever socket has the ports.
	anyCookie = ^uint64(0)
)

// inodeOf returns the inode of the socket that connects two local ports, empty if there is
// none. Listing all sockets of the machine takes so long under load that hosts give up their
// new connections meanwhile.
func inodeOf(from, to int) string {
	s, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, netlinkSockDiag)
	if err != nil {
		return ""
	}
	defer func() { _ = syscall.Close(s) }()
	b := make([]byte, headerBytes+requestBytes)
	binary.NativeEndian.PutUint32(b, uint32(len(b)))
	binary.NativeEndian.PutUint16(b[4:], sockDiagByFamily)
	binary.NativeEndian.PutUint16(b[6:], syscall.NLM_F_REQUEST)
	q := b[headerBytes:]
	q[0], q[1] = syscall.AF_INET, syscall.IPPROTO_TCP
	binary.NativeEndian.PutUint32(q[4:], ^uint32(0)) // in any state
	id := q[idAt:]
	binary.BigEndian.PutUint16(id, uint16(from))
	binary.BigEndian.PutUint16(id[2:], uint16(to))
	copy(id[4:], net.IPv4(127, 0, 0, 1).To4())
	copy(id[20:], net.IPv4(127, 0, 0, 1).To4())
	binary.NativeEndian.PutUint64(id[40:], anyCookie)
	if err := syscall.Sendto(s, b, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return ""
	}
	a := make([]byte, 4096)
	n, _, err := syscall.Recvfrom(s, a, 0)
	if err != nil || n < headerBytes+inodeAt+4 || binary.NativeEndian.Uint16(a[4:]) != sockDiagByFamily {
		return ""
	}
	return fmt.Sprint(binary.NativeEndian.Uint32(a[headerBytes+inodeAt:]))
}
