package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/loads"
)

// nodeReport is the newest load report of a node, kept until it expires.
type nodeReport struct {
	loads.Report
	receivedAt time.Time // by this node's clock
	packed     []byte    // the msgpack encoding that the reporting node sent
}

// zoneLoad is the sum by service of the load reports of one availability zone. Any node of that zone may compute it; the
// newest sum wins. It keeps messages between zones small, and independent of the number of nodes.
type zoneLoad struct {
	services   []loads.ServiceSum
	computedAt time.Time // by this node's clock
	packed     []byte    // the msgpack encoding by the node that computed the sum
}
