package database

// cache knows the prepared statements of one connection.
type cache struct {
	most int
	uses map[string]uint64
	now  uint64
}

func newCache(most int) cache {
	return cache{most: most, uses: make(map[string]uint64)}
}

// has reports whether the connection has the statement, and counts it as used.
func (c *cache) has(name string) bool {
	if _, ok := c.uses[name]; !ok {
		return false
	}
	c.add(name)
	return true
}

func (c *cache) add(name string) {
	c.now++
	c.uses[name] = c.now
}

func (c *cache) remove(name string) {
	delete(c.uses, name)
}

// oldest returns the statement that was used longest ago, when the cache is
// full and that use was not after since. The scan is paid only by connections
// that see more statements than the cache holds, next to a Parse that costs far
// more.
func (c *cache) oldest(since uint64) (string, bool) {
	if len(c.uses) < c.most {
		return "", false
	}
	var name string
	least := c.now + 1
	for n, u := range c.uses {
		if u < least {
			name, least = n, u
		}
	}
	return name, least <= since
}
