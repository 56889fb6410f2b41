package rollout

// probeable returns the warm instances of the new version that have been known for probeDelay, or
// all of them once the shift is due.
func (c *Controller) probeable(view View) []string {
	var known []string
	for _, instance := range view.Warm {
		since, ok := c.warmSince[instance]
		if !ok {
			since = view.Now
			c.warmSince[instance] = since
		}
		if view.Now.Sub(since) >= probeDelay || !view.Now.Before(c.plan().ShiftAt) {
			known = append(known, instance)
		}
	}
	return known
}

// chooseProbed adopts the instances announced by the first decider, because daemons may know
// different instances. The first decider, and a daemon without its announcement, choose them on their
// own.
func (c *Controller) chooseProbed(view View, members []string) {
	for _, decider := range members[:min(Deciders, len(members))] {
		if decider == c.node {
			break
		}
		if announcement, heard := c.announcements[decider]; heard && len(announcement.Probed) > 0 {
			c.probed = announcement.Probed
			return
		}
	}
	turn := int(view.Now.Sub(c.orderedAt) / probeTurnTime)
	choose, share := Probed, c.probeShare
	if c.State() == StateShifting {
		share = c.shareInShift(view)
	}
	if c.State() == StateShifting || turn%2 == 0 {
		choose = SpreadProbed
	}
	c.probed = nil
	for _, instance := range choose(c.Order().Identity, view.Warm, view.estimatedInstances(), share, turn) {
		c.probed = append(c.probed, Probe{Instance: instance, Node: view.Nodes[instance]})
	}
}

// allowedInstances returns the instances of the new version that get calls at a share: the probed
// ones, and towards the end of the shift all that this daemon knows.
func (c *Controller) allowedInstances(view View, share float64) []string {
	if c.State() == StateShifting && share >= allInstancesShare {
		return view.Warm
	}
	instances := make([]string, 0, len(c.probed))
	for _, probe := range c.probed {
		instances = append(instances, probe.Instance)
	}
	return instances
}

// Probed returns the instances that are currently probed, or nil in a state without probes.
func (c *Controller) Probed() []Probe {
	if c.State() != StateProbing && c.State() != StateShifting {
		return nil
	}
	return c.probed
}
