package proxy

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// upstreamName returns the name of the prepared statement on upstream
// connections. It is derived from the definition, so that callers who use the
// same name for different statements can share a connection.
func (p preparedStatement) upstreamName() string {
	hash := xxhash.Sum64String(p.shape)
	if p.readOnly {
		return "r" + strconv.FormatUint(hash, 36)
	}
	return "w" + strconv.FormatUint(hash, 36)
}
