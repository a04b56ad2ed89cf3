// Package headerpack compresses the headers of requests and answers, for connections whose traffic is billed by the byte.
//
// A connection between two nodes carries thousands of requests whose headers hardly differ. A Packer encodes a header
// block with HPACK, as HTTP/2 does: a field that the connection has carried before takes one byte, other fields are Huffman
// coded. Both sides keep the same dynamic table, so header blocks must be unpacked in the order of packing, each exactly
// once, and after an error the connection can't be used any more. The result is base64 text, so that it fits into one
// HTTP/1.1 header.
//
// packer.go writes, unpacker.go reads.
package headerpack
