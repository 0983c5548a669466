// Package link implements calls between entry instances over drpc, with messages encoded as CBOR.
package link
