package tree

// SkipFloor makes the node put any version in force without a floor, which shows that the history
// check detects a missing floor.
func (n *Node) SkipFloor() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.floorKnown = true
}
