package soak

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"vanillalock.example/vanillalock/internal/fleet"
	wire "vanillalock.example/vanillalock/platform/standin"
)

// link is the way from an entry to another process, by their nodes. Only entries open
// sessions.
type link struct{ from, to string }

// storePortFor returns the port of the store that a process calls. With links each entry
// has a port of its own, as it reads the addresses of its links.
func (f *testFleet) storePortFor(p *process) int {
	if f.size.links && p.role == "fleet-entry" {
		return storePort + p.number
	}
	return storePort
}

// addLinks creates the proxies of the links, and for each entry a view of the store with
// their addresses, which has no faults of its own. An entry whose calls to the store are relayed gets the addresses of the
// links of the entry that relays them.
func (f *testFleet) addLinks() {
	for _, from := range f.entries {
		var addresses []string // of each process and of the link to it
		for _, to := range f.processes() {
			if from == to {
				continue
			}
			published := net.JoinHostPort(to.ip, fmt.Sprint(wire.SessionPort))
			address := net.JoinHostPort(f.ip(to.number+sessionProxyIP), fmt.Sprint(wire.SessionPort+from.number))
			f.links[link{from.node, to.node}] = f.proxy(address, published)
			addresses = append(addresses, published, address)
		}
		view := &storeView{f.store, strings.NewReplacer(addresses...)}
		f.serve(net.JoinHostPort(f.ip(storeIP), fmt.Sprint(f.storePortFor(from))), wire.StoreHandler(view, f.rewrite))
	}
}

// storeView is a store whose values are read with other addresses.
type storeView struct {
	fleet.Store
	addresses *strings.Replacer
}

func (v *storeView) replace(item *fleet.Item) {
	item.Value = []byte(v.addresses.Replace(string(item.Value)))
}

// Get implements fleet.Store.
func (v *storeView) Get(ctx context.Context, key string) (fleet.Item, error) {
	item, err := v.Store.Get(ctx, key)
	v.replace(&item)
	return item, err
}

// Page implements fleet.Store.
func (v *storeView) Page(ctx context.Context, prefix, after string) (fleet.Page, error) {
	page, err := v.Store.Page(ctx, prefix, after)
	for i := range page.Items {
		v.replace(&page.Items[i])
	}
	return page, err
}

// Watch implements fleet.Store.
func (v *storeView) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]fleet.Change, uint64, error) {
	changes, next, err := v.Store.Watch(ctx, prefix, after, wait)
	for i := range changes {
		v.replace(&changes[i].Item)
	}
	return changes, next, err
}
