package proxy

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// upstreamName is the name of the statement on upstream connections. It comes
// from the definition, so that callers who use one name for different
// statements can share a connection.
func (p preparedStatement) upstreamName() string {
	hash := xxhash.Sum64String(p.shape)
	if p.readOnly {
		return "r" + strconv.FormatUint(hash, 36)
	}
	return "w" + strconv.FormatUint(hash, 36)
}
