package relay

import (
	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
)

// homes are the regions that one operation may enter: those that its route and its account both
// allow.
type homes struct {
	route, account catalog.AllowedRegions
}

// bound reports whether the operation may not go everywhere.
func (h homes) bound() bool { return len(h.route)+len(h.account) > 0 }

// allow reports whether the operation may be read and run in a data centre. One whose region isn't
// known is in none.
func (r *Relay) allow(h homes, dc fleet.DataCentre) bool {
	if !h.bound() {
		return true
	}
	region := r.cfg.Regions[dc]
	return h.route.Allow(region) && h.account.Allow(region)
}

// atHome reports whether any instance that could run an operation stands in a region that it may
// enter.
func (g *group) atHome(o *operation) bool {
	if !o.homes.bound() {
		return true
	}
	if o.lead {
		p := g.primary()
		return p == nil || g.r.allow(o.homes, p.info.DataCentre)
	}
	for _, i := range g.instances {
		if !i.removed && g.r.allow(o.homes, i.info.DataCentre) {
			return true
		}
	}
	return false
}

// abroad reports whether an instance stands where some database of the service may not be served.
func (g *group) abroad(i *instance) bool {
	for _, h := range g.regionLimits {
		if !g.r.allow(homes{route: h}, i.info.DataCentre) {
			return true
		}
	}
	return false
}

// confine takes in which databases of each service may not be served everywhere.
func (r *Relay) confine(c *catalog.Catalog) {
	for _, g := range r.groups {
		g.regionLimits = nil
	}
	for _, route := range c.Routes {
		if len(route.AllowedRegions) > 0 {
			g := r.group(route.Service)
			g.regionLimits = append(g.regionLimits, route.AllowedRegions)
		}
	}
}
