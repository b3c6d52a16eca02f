package relay

import (
	"context"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/lists"
)

// onWatchEvent updates the store by what upstream reports.
func (r *Relay) onWatchEvent(event discovery.WatchEvent) {
	switch event.Update {
	case balancer.EndpointsReplaced:
		r.replace(event.Revision, event.Members)
	case balancer.EndpointsChanged:
		r.apply(event.Revision, event.Members)
	}
}

// replace updates the store by a full list. One that follows the list held becomes the changes between the two, so that hundreds of
// callers that can go on with those need not get the full list anew.
func (r *Relay) replace(revision uint64, members []discovery.Member) {
	r.mu.Lock()
	reset := r.migrated || !r.hasList || revision <= r.store.Revision()
	r.migrated = false
	r.hasList = true
	r.mu.Unlock()
	if reset {
		r.reportUpdate(revision, len(members))
		r.store.Reset(revision, members)
		return
	}
	r.apply(revision, difference(r.store.Members(), members))
}

// apply updates the store by changes.
func (r *Relay) apply(revision uint64, changed []discovery.Member) {
	if revision == r.store.Revision() && len(changed) == 0 {
		return // the first answer of a watch, which brought nothing
	}
	r.reportUpdate(revision, len(changed))
	err := r.store.Apply(revision, changed)
	if err == nil {
		return
	}
	// Upstream changes what it has reported already. Callers that hold that revision could not get it as changes, so all get the
	// full list anew.
	r.log.Error("upstream changes out of order", "error", err)
	merged := lists.NewStore(0)
	merged.Reset(0, r.store.Members())
	_ = merged.Apply(1, changed) // it holds a list, and 1 follows 0
	r.store.Reset(revision, merged.Members())
}

// reportUpdate reports an update that is about to be handed on.
func (r *Relay) reportUpdate(revision uint64, members int) {
	if r.options.OnUpdate != nil {
		r.options.OnUpdate(revision, members, time.Now())
	}
}

// difference are the changes by which one list becomes another.
func difference(from, to []discovery.Member) []discovery.Member {
	before := make(map[string]discovery.Member, len(from))
	for _, m := range from {
		before[m.ID] = m
	}
	var changed []discovery.Member
	for _, m := range to {
		if m.Removed() {
			continue
		}
		if before[m.ID] != m {
			changed = append(changed, m)
		}
		delete(before, m.ID)
	}
	for _, m := range from {
		if _, left := before[m.ID]; left {
			m.MarkRemoved()
			changed = append(changed, m)
		}
	}
	return changed
}

// onResponse notes that a call to upstream was answered and its result is in the store.
func (r *Relay) onResponse(began time.Time, revision uint64) {
	if revision > r.store.Revision() { // of no changes, which are not notified
		r.apply(revision, nil)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.syncedAt = began
	close(r.synced)
	r.synced = make(chan struct{})
	remaining := time.Until(began.Add(staleAfter))
	if remaining <= 0 {
		return
	}
	r.staleTimer.Reset(remaining)
	if r.callsCtx.Err() != nil && !r.ended {
		r.callsCtx, r.cancelCalls = context.WithCancel(context.Background())
		r.log.Info("relay synced, answering calls")
	}
}

// becomeStale ends the calls in flight, unless upstream has answered meanwhile.
func (r *Relay) becomeStale() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isFreshLocked(time.Now()) {
		return
	}
	r.cancelCalls()
	r.log.Warn("relay stale, rejecting calls", "synced_at", r.syncedAtLocked())
}

// syncedAtLocked is when the list was known to be the newest, or when the relay started. The caller holds the mutex.
func (r *Relay) syncedAtLocked() time.Time {
	if r.syncedAt.IsZero() {
		return r.startedAt
	}
	return r.syncedAt
}

// isFreshLocked says whether the relay may answer. The caller holds the mutex.
func (r *Relay) isFreshLocked(now time.Time) bool { return now.Sub(r.syncedAtLocked()) < staleAfter }

// awaitSync returns when a condition holds that is evaluated, with the mutex held, now and after each answer from upstream, and how
// long that took: 0 if it held at once.
func (r *Relay) awaitSync(ctx context.Context, longest time.Duration, condition func() bool) (time.Duration, error) {
	began := time.Now()
	timer := time.NewTimer(longest)
	defer timer.Stop()
	ok, synced := r.checkSync(condition)
	if ok {
		return 0, nil
	}
	for {
		select {
		case <-synced:
		case <-timer.C:
			return time.Since(began), errNotSynced
		case <-ctx.Done():
			return time.Since(began), ctx.Err()
		}
		if ok, synced = r.checkSync(condition); ok {
			return time.Since(began), nil
		}
	}
}

// checkSync evaluates a condition and returns what is closed when it may have changed.
func (r *Relay) checkSync(condition func() bool) (ok bool, synced <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return condition(), r.synced
}
