package rollout

import (
	"context"
	"slices"
	"time"
)

// Tick decides once on every order.
func (r *Runner) Tick(ctx context.Context) {
	members := r.config.Links.Members()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for service := range r.barred {
		r.unbar(service)
	}
	for service, followed := range r.following {
		r.tick(ctx, service, followed, members)
	}
}

// unbar clears the barred versions of a service if they exclude all of its instances. One of them is
// then in force, so this daemon missed the completion of its order. The caller must hold mutex.
func (r *Runner) unbar(service string) {
	endpoints, _ := r.config.Instances.Of(service)
	for _, endpoint := range endpoints {
		if !slices.Contains(r.barred[service], endpoint.GetVersion()) {
			return
		}
	}
	if len(endpoints) > 0 && r.config.Now().Sub(r.started) >= discoveryTime {
		delete(r.barred, service)
		r.publish()
	}
}

// tick decides once on an order. It applies the allocation before it sends the announcement, because
// the announcement states that the allocation is in force. The caller must hold mutex.
func (r *Runner) tick(ctx context.Context, service string, followed *followedOrder, members []string) {
	now := r.config.Now()
	if slices.Contains(followed.deciders, r.config.Node) && !followed.controller.Ended() {
		followed.controller.Report(followed.report(r.config.Node, r.config.Incarnation, now))
	}
	decision := followed.controller.Tick(r.view(now, service, followed, members))
	followed.deciders = decision.Deciders
	followed.traffic.Apply(decision.Allocation)
	for _, step := range decision.Steps {
		r.config.Logger.Info("rollout.step", step.Fields()...)
	}
	r.sendDue(now, followed, decision)
	if decision.Ask && !followed.asking && now.Sub(followed.askedAt) >= StoreRetryDelay {
		followed.asking, followed.askedAt = true, now
		go r.ask(ctx, service, followed)
	}
	if decision.Write != nil {
		go r.write(ctx, service, followed, *decision.Write)
	}
}

// report returns a report with all evidence of this daemon.
func (f *followedOrder) report(node string, incarnation uint64, now time.Time) Report {
	f.sequence++
	return Report{
		Order: f.controller.Order().Identity, Node: node, Incarnation: incarnation,
		Sequence: f.sequence, Evidence: f.traffic.Evidence(now),
	}
}

// Changed reports whether an announcement differs from an earlier one in more than its times.
func (w Announcement) Changed(earlier Announcement) bool {
	return w.Phase != earlier.Phase || w.Holding != earlier.Holding || !slices.Equal(w.Probed, earlier.Probed) || w.Diverted != earlier.Diverted || w.Drained != earlier.Drained
}

// sendDue sends the announcement and the report if they are due. The caller must hold mutex.
func (r *Runner) sendDue(now time.Time, followed *followedOrder, decision Decision) {
	if followed.controller.DoneSending(now) {
		return
	}
	if decision.Announcement.Changed(followed.lastAnnouncement) || now.Sub(followed.lastAnnouncementAt) >= AnnouncementInterval {
		nodes := decision.Deciders
		if decision.Announcement.Changed(followed.lastAnnouncement) || slices.Contains(nodes, r.config.Node) {
			nodes = nil
		}
		followed.lastAnnouncement, followed.lastAnnouncementAt = decision.Announcement, now
		r.config.Links.Broadcast(decision.Announcement, nodes)
	}
	if followed.controller.Ended() || now.Sub(followed.reportedAt) < ReportInterval {
		return
	}
	followed.reportedAt = now
	report := followed.report(r.config.Node, r.config.Incarnation, now)
	for _, decider := range decision.Deciders {
		if decider != r.config.Node {
			r.config.Links.Send(decider, followed.controller.Order().Service, report)
		}
	}
}

// view returns the current view of an order. The caller must hold mutex.
func (r *Runner) view(now time.Time, service string, followed *followedOrder, members []string) View {
	view := View{
		Now: now, Members: members, Known: r.config.Links.Known(), Barred: slices.Clone(r.barred[service]),
		InstancesKnown: now.Sub(r.started) >= discoveryTime, OldInFlight: followed.traffic.OldInFlight(),
		StoreAnswered: r.config.Store.LastAnswerTime(), Nodes: map[string]string{}, Serving: r.config.Links.Serving(service),
	}
	target := followed.controller.Order().Target
	endpoints, cold := r.config.Instances.Of(service)
	for _, endpoint := range endpoints {
		switch {
		case endpoint.GetVersion() == target:
			view.New = append(view.New, endpoint.GetInstance())
			if !cold(endpoint) {
				view.Warm = append(view.Warm, endpoint.GetInstance())
				view.Nodes[endpoint.GetInstance()] = endpoint.GetNode()
			}
		case !slices.Contains(view.Barred, endpoint.GetVersion()):
			view.Old++
		}
	}
	return view
}

// write does a write and records the answer.
func (r *Runner) write(ctx context.Context, service string, followed *followedOrder, write Write) {
	answer := r.config.Store.WriteStatus(ctx, write)
	r.config.Logger.Info("rollout.write", "service", service, "target", write.Order.Target, "revision", write.Revision,
		"end", write.Status.End, "outcome", answer.Outcome)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.following[service] != followed {
		return
	}
	known := followed.controller.Order()
	classification := followed.controller.Answered(r.config.Now(), answer)
	r.handleClassification(service, known, classification, answer.Seen)
}

// ask queries the store for an order and records the result.
func (r *Runner) ask(ctx context.Context, service string, followed *followedOrder) {
	order, err := r.config.Store.Get(ctx, service)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	followed.asking = false
	if err != nil || r.following[service] != followed {
		return
	}
	known := followed.controller.Order()
	r.handleClassification(service, known, followed.controller.Observe(order), order)
}
