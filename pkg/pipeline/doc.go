// Package pipeline serves pipelined HTTP/1.1 requests of one connection concurrently and writes their answers in order.
//
// It works below an http.Server: a connection gives the server one request at a time and reads on while that request is served.
// Safe requests without a body that arrive meanwhile are served by a second http.Server with the same handler, each on a connection in
// memory, so that framing, limits and contexts are net/http's. Their answers are written when the first server reads its next request,
// which it does after it has flushed its answer. Any other request, and all behind it, waits and is then read by the first server.
//
// It depends on this behaviour of net/http: during a request without unread body a background read with a buffer of one byte is in progress,
// which is ended by a read deadline in the past; reads of a next request have a longer buffer.
package pipeline
