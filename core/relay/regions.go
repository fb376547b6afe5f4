package relay

import (
	"skylarkdeal/core/catalog"
	"skylarkdeal/core/fleet"
)

// allowedRegions are the regions that an operation may enter: those that its route and its account both
// allow.
type allowedRegions struct {
	route, account catalog.AllowedRegions
}

// restricted reports whether there are regions that the operation may not enter.
func (a allowedRegions) restricted() bool { return len(a.route)+len(a.account) > 0 }

// allowsRegion reports whether the operation may be read and run in a data centre. A data centre of
// unknown region is in none.
func (r *Relay) allowsRegion(a allowedRegions, dc fleet.DataCentre) bool {
	if !a.restricted() {
		return true
	}
	region := r.cfg.Regions[dc]
	return a.route.Allow(region) && a.account.Allow(region)
}

// hasAllowedInstance reports whether any instance that could run the operation is in a region that the
// operation may enter.
func (g *group) hasAllowedInstance(o *operation) bool {
	if !o.regions.restricted() {
		return true
	}
	if o.needsPrimary {
		p := g.primary()
		return p == nil || g.r.allowsRegion(o.regions, p.info.DataCentre)
	}
	for _, i := range g.instances {
		if !i.removed && g.r.allowsRegion(o.regions, i.info.DataCentre) {
			return true
		}
	}
	return false
}

// outsideRegion reports whether an instance is in a region where some database of the service may not
// be served.
func (g *group) outsideRegion(i *instance) bool {
	for _, a := range g.regionLimits {
		if !g.r.allowsRegion(allowedRegions{route: a}, i.info.DataCentre) {
			return true
		}
	}
	return false
}

// setRegions sets the regions to which databases of each service are restricted.
func (r *Relay) setRegions(c *catalog.Catalog) {
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
