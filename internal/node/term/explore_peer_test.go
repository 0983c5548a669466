package term_test

import (
	"context"

	"github.com/lentildeck/lentildeck/internal/peer/grants"
	"github.com/lentildeck/lentildeck/internal/proof/world"
)

// explorePeers are the other instances of a world, one in each data centre, and the calls of one process to them.
type explorePeers struct {
	access    *world.Process
	instances *directory
	// centres has the data centre of each instance.
	centres map[string]string
}

// HasLargerPeer returns false: all are alike.
func (explorePeers) HasLargerPeer() bool { return false }

// AddressesIn returns the other instances in the data centre, whose names are their addresses.
func (p explorePeers) AddressesIn(centre string) (names []string) {
	for name, in := range p.centres {
		if in == centre && name != p.access.Name() {
			names = append(names, name)
		}
	}
	return names
}

func (p explorePeers) Grants(ctx context.Context, instance string, request *grants.Request) (*grants.Reply, error) {
	return world.CallPeer(ctx, p.access, instance, "report of", func() (*grants.Reply, error) {
		return p.instances.Grants(ctx, instance, request)
	})
}

func (p explorePeers) Keep(ctx context.Context, address string, exits *grants.Exits) (*grants.Kept, error) {
	return world.CallPeer(ctx, p.access, address, "leave exits with", func() (*grants.Kept, error) {
		return p.instances.Keep(ctx, address, exits)
	})
}

func (p explorePeers) KeptExits(ctx context.Context, address string, request *grants.Request) (*grants.Exits, error) {
	return world.CallPeer(ctx, p.access, address, "exits kept by", func() (*grants.Exits, error) {
		return p.instances.KeptExits(ctx, address, request)
	})
}
