package hostplatform

import (
	"encoding/binary"
	"net/http"
)

// ForgedAppend returns path and body of a call that appends the record to partition 0 of the
// control log, as a process sends it that has no certificate of the group.
func ForgedAppend(record string) (path string, body []byte) {
	body = binary.BigEndian.AppendUint32(nil, uint32(len(record)))
	return "/log-append?topic=control&part=0", append(body, record...)
}

// SetForgedRequest gives the header the account and the id that a relaying instance would send.
func SetForgedRequest(h http.Header, id string) {
	h.Set("Tenant", "acme")
	h.Set("Request-Id", id)
}
