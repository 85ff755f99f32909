// Package liveness decides which members of a group of equals have ended. It does no I/O and reads no clock: signs of life
// and the time go in, questions to send come out.
//
// Each member asks one other at a time, chosen at random from those that it has not heard lately, for a sign of life. One
// that does not answer is asked again, also by some helpers in its place, so that neither a lost datagram nor a broken link
// between two members ends one of them. A verdict is news for all: it rides on the digests that members send anyway, and so
// does its refutation. How long it takes until a member is known to have ended does not depend on how many there are, and
// neither do the datagrams that a member sends for it.
package liveness
