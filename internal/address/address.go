// Package address takes the addresses of other processes apart.
package address

import (
	"net"
	"strconv"
)

// Split takes an address apart into its host and its port, a number.
func Split(address string) (host string, port uint16, err error) {
	host, number, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, err
	}
	n, err := strconv.ParseUint(number, 10, 16)
	return host, uint16(n), err
}
