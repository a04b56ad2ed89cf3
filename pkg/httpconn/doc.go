// Package httpconn sends HTTP/1.1 requests on kept connections, each exactly once.
//
// The client of net/http sends a request again on its own when a kept
// connection turns out to be dead. Work that may run at most once can't have
// that, so this package only carries: a Pool keeps connections, its Do
// writes one request and reads one answer, and an Error says whether
// any byte was written. Whether to try again is the caller's decision.
//
// An idle connection on which bytes wait, or that the other side closed, isn't
// handed out: such bytes are an answer that belongs to no request.
//
// pool.go keeps the connections, quiet.go looks at idle ones, silence.go tells when they may have gone silent, exchange.go runs
// one exchange, whose parts are in send_request.go, answer_body.go and
// exchange_error.go. A request may ask for its headers to be packed (package headerpack).
package httpconn
