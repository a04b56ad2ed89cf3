package mesh

import (
	"time"

	"github.com/rockspoke/rockspoke/pkg/loads"
)

// nodeReport is the newest report of a node, as long as it counts.
type nodeReport struct {
	loads.Report
	receivedAt time.Time // at this node
	packed     []byte    // as its node wrote it
}

// zoneLoad is what the nodes of one availability zone report, added up by service. Any node of that zone
// may add it up; the newest counts. It keeps messages between zones, and what they grow with, small.
type zoneLoad struct {
	services   []loads.ServiceSum
	computedAt time.Time // when it was added up, by this node's clock
	packed     []byte    // as the node wrote it that added it up
}
