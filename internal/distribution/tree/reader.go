package tree

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lapisvane/lapisvane/internal/distribution/changelog"
	"github.com/lapisvane/lapisvane/internal/distribution/seat"
)

// readerRole is the work of a node while it holds a seat.
type readerRole struct {
	node    *Node
	vacancy seat.Vacancy
	log     *changelog.Log
	// renewals counts the writes of the seat, so that each one differs from the last.
	renewals uint64
}

// runReader takes the seat and serves as reader until the seat is lost or ctx
// ends.
func (n *Node) runReader(ctx context.Context, vacancy seat.Vacancy) {
	role := &readerRole{node: n, vacancy: vacancy, log: changelog.New(n.config.Store, time.Now)}
	if !role.acquire(ctx) {
		return
	}
	n.config.Logger.Info("seat.taken", "seat", vacancy.Seat, "epoch", vacancy.Epoch)
	n.becomeReader()
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return role.renew(groupCtx) })
	group.Go(func() error { return role.follow(groupCtx) })
	group.Go(func() error { return n.keepMesh(groupCtx) })
	group.Go(func() error { return role.reportStatus(groupCtx) })
	group.Go(func() error { return role.followMachines(groupCtx) })
	group.Go(func() error { return role.maintain(groupCtx) })
	err := group.Wait()
	n.config.Logger.Info("seat.left", "seat", vacancy.Seat, "cause", err)
	n.ceaseReader()
	role.release()
}

func (n *Node) becomeReader() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.reader = true
	n.setPath([]string{n.config.Node})
	n.startFloorRead()
}

func (n *Node) ceaseReader() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.reader = false
	n.leaving = map[string]bool{}
	n.abortFloorRead()
	n.setPath(nil)
}
