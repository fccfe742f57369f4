// Package peer is the protocol between wardturn's own processes: typed messages
// in length-prefixed msgpack frames over one TCP connection.
//
// A frame is four bytes of length in network order, one byte that names the
// kind of message, and the message as a msgpack array. Many attempts share a
// connection. The bytes of each answer are numbered by offset, and an agent
// sends no further than the credit that the entry gave for that attempt, so a
// slow caller holds up only its own answer.
//
// A connection that is lost decides nothing. The entry asks again for its
// attempts by Attach, on a new connection.
package peer
