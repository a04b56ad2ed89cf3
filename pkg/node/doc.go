// Package node implements one daemon: it passes calls and control messages
// between the network and the decision logic in the other packages.
//
// caller_server.go receives a caller's request and assigns its priority,
// deadline and retry tokens. call_sender.go sends it to a backend server or,
// for once-only work, to the key's home. At the other daemon peer_server.go
// receives it, call_home.go decides by its key whether it runs, and
// call_runner.go admits it to the backend server. Calls that this server makes
// in turn arrive at outbound_server.go and follow the same path.
//
// One goroutine owns the control state (control_loop.go) and publishes it as
// an immutable snapshot; calls only read the snapshot.
package node
