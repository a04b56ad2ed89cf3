// Package httpconn sends HTTP/1.1 requests on persistent connections, each exactly once.
//
// The client of net/http retries a request on its own when a persistent
// connection turns out to be dead. That is wrong for requests that may run at
// most once, so this package never retries: a Pool keeps connections open, its
// Do writes one request and reads one answer, and an Error says whether the
// request may have been sent. Whether to retry is the caller's decision.
//
// An idle connection that has unread bytes, or that the other side closed,
// isn't reused: such bytes are an answer that belongs to no request.
//
// pool.go manages the connections, idle_check.go checks idle ones before use,
// unanswered_requests.go detects that they may be unresponsive, and exchange.go
// runs one exchange, whose parts are in send_request.go, answer_body.go and
// exchange_error.go. header_limit.go bounds the header of an answer. reset_detector.go tells an answer that was reset from one
// that ended with its connection. A streamed body (send_stream.go) may wait
// until the other side asks for it, and may go on being sent after the answer
// has ended. A request may ask for its headers to be packed (package
// headerpack); only then the headers of its answer are unpacked.
package httpconn
