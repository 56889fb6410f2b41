package configsource

import (
	"context"
	"time"
)

// ordersPart is the part of OrdersBound after which a daemon that asks on reads the
// orders whatever the source's position says. It leaves two thirds for a source whose
// positions turn out not to move with orders.
const ordersPart = 0.3

// ordersRead is when, and up to which position, a daemon has read the orders itself;
// zero before the first time.
type ordersRead struct {
	at       time.Time
	position Position
}

// askOnce asks the source once for all that is followed, in a turn that began at
// asked. It succeeds only when both the configuration and the orders are known to
// be the newest of that time. In quiet times that is one question: the answer about
// the one names the source's position, which says whether the other may have changed.
func (f *Follower) askOnce(ctx context.Context, asked time.Time) error {
	overdue := f.ordersOverdue(asked)
	// After a failure the configuration goes first: it must be followed also where
	// only the orders cannot be had.
	if overdue && !f.failing {
		if err := f.askOrders(ctx, asked); err != nil {
			return err
		}
		if f.known && f.orders.position == f.position {
			return nil
		}
		return f.askConfiguration(ctx)
	}
	if err := f.askConfiguration(ctx); err != nil {
		return err
	}
	if overdue || f.ordersMoved() {
		return f.askOrders(ctx, asked)
	}
	return nil
}

// ordersOverdue reports whether the orders are to be read whatever the position says.
func (f *Follower) ordersOverdue(now time.Time) bool {
	if f.TakeOrders == nil {
		return false
	}
	again := time.Duration(ordersPart * float64(f.OrdersBound))
	return f.orders.at.IsZero() || now.Sub(f.orders.at) >= again
}

// ordersMoved reports whether the source's position has moved past that at which this
// daemon last read the orders.
func (f *Follower) ordersMoved() bool { return f.TakeOrders != nil && f.position > f.orders.position }

// askOrders asks the source for all orders and takes them.
func (f *Follower) askOrders(ctx context.Context, asked time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, f.answerTime())
	defer cancel()
	f.OrdersAsked.Add(1)
	set, err := f.Source.Orders(ctx)
	if err != nil {
		return err
	}
	f.orders = ordersRead{at: asked, position: Position(set.Revision())}
	f.TakeOrders(set)
	return nil
}
