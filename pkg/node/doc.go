// Package node is one daemon: the shell that carries calls and control
// messages to the decisions in the other packages and back.
//
// A caller's request comes in at caller_server.go, is given its priority,
// deadline and retry tokens, and goes out by call_sender.go, which picks a
// backend server or, for once-only work, the key's home. At the other daemon
// peer_server.go takes it; call_home.go decides about its key, and
// call_runner.go about its start at the backend server. What that server calls
// in turn comes in at outbound_server.go and takes the same way.
//
// One goroutine owns the control state (control_loop.go) and publishes it as
// an immutable snapshot; calls only read the snapshot.
package node
