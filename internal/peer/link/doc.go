// Package link carries calls between entry instances over drpc, encoded as CBOR.
package link
