// Package peer implements the protocol between wardturn's own processes: typed
// messages in length-prefixed msgpack frames over one TCP connection.
//
// A frame consists of a four-byte length in network byte order, one byte for the
// kind of message, and the message as a msgpack array. A connection multiplexes
// many attempts. Chunks of a response carry their byte offset, and an agent sends
// only up to the credit that the entry has granted for the attempt, so a slow
// caller delays only its own response.
//
// The loss of a connection doesn't end the attempts on it. The entry resumes them
// with Attach on a new connection.
package peer
