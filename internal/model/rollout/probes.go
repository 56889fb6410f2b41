package rollout

// warmedUp returns the warm instances of the new version that are known for long enough to be
// probed, all of them once the shift is due.
func (c *Controller) warmedUp(view View) []string {
	var known []string
	for _, instance := range view.Warm {
		since, ok := c.seen[instance]
		if !ok {
			since = view.Now
			c.seen[instance] = since
		}
		if view.Now.Sub(since) >= warmUp || !view.Now.Before(c.plan().ShiftAt) {
			known = append(known, instance)
		}
	}
	return known
}

// chooseProbed takes over the instances that the first decider names, of which each daemon may
// know others; the first decider, and a daemon that has not heard of it, choose themselves.
func (c *Controller) chooseProbed(view View, members []string) {
	for _, decider := range members[:min(Deciders, len(members))] {
		if decider == c.node {
			break
		}
		if word, heard := c.words[decider]; heard && len(word.Probed) > 0 {
			c.probed = word.Probed
			return
		}
	}
	turn := int(view.Now.Sub(c.began) / probeTurn)
	choose, share := Probed, c.probeShare
	if c.State() == StateShifting {
		share = c.shareInShift(view)
	}
	if c.State() == StateShifting || turn%2 == 0 {
		choose = SpreadProbed
	}
	c.probed = nil
	for _, instance := range choose(c.Order().Identity, view.Warm, view.ofVersion(), share, turn) {
		c.probed = append(c.probed, Probe{Instance: instance, Node: view.Nodes[instance]})
	}
}

// allowed returns the instances of the new version that get calls at a share: those that are
// probed, and towards the end of the shift all that are known here.
func (c *Controller) allowed(view View, share float64) []string {
	if c.State() == StateShifting && share >= allKnownFrom {
		return view.Warm
	}
	instances := make([]string, 0, len(c.probed))
	for _, probe := range c.probed {
		instances = append(instances, probe.Instance)
	}
	return instances
}

// Probed returns the instances that are probed now, none where not all that get calls are named.
func (c *Controller) Probed() []Probe {
	if c.State() != StateProbing && c.State() != StateShifting {
		return nil
	}
	return c.probed
}
