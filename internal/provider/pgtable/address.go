package pgtable

import (
	"net"
	"strconv"

	"github.com/rotisserie/eris"
)

func splitAddress(address string) (string, uint16, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, eris.Wrap(err, "parse address of the table service")
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return "", 0, eris.Wrap(err, "parse port of the table service")
	}
	return host, uint16(port), nil
}
