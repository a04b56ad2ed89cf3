package wire

import "github.com/rockspoke/rockspoke/pkg/advertised"

// BackendHeaders are the headers by which a backend server says something of itself to the daemon beside it. The gate of this
// daemon doesn't limit rates, so there is no header for a rate limit.
var BackendHeaders = advertised.Names{Leaving: "Rockspoke-Drain"}
