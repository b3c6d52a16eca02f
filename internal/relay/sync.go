package relay

import (
	"context"
	"time"

	"example.org/ryeloft/internal/balancer"
	"example.org/ryeloft/internal/discovery"
	"example.org/ryeloft/internal/lists"
)

// onWatchEvent applies an update from upstream to the store.
func (r *Relay) onWatchEvent(event discovery.WatchEvent) {
	switch event.Update {
	case balancer.EndpointsReplaced:
		r.replace(event)
	case balancer.EndpointsChanged:
		r.apply(event.Revision, event.Members)
	}
}

// replace applies a full list to the store. If its revision follows the current one, replace applies the differences as
// changes, so that hundreds of callers do not need the full list again. Revisions of another service are unrelated.
func (r *Relay) replace(event discovery.WatchEvent) {
	if r.listSource() == event.Source && event.Revision > r.store.Revision() {
		r.apply(event.Revision, difference(r.store.Members(), event.Members))
		return
	}
	r.reportUpdate(event.Revision, len(event.Members))
	r.resetStore(event.Source, event.Revision, event.Members)
}

// listSource returns the address of the service whose list is in the store, or an empty string if there is no list.
func (r *Relay) listSource() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source
}

// resetStore replaces the store's list by one of the given service, in one step for storeList.
func (r *Relay) resetStore(source string, revision uint64, members []discovery.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.source = source
	r.store.Reset(revision, members)
}

// apply applies changes to the store.
func (r *Relay) apply(revision uint64, changed []discovery.Member) {
	if revision == r.store.Revision() && len(changed) == 0 {
		return // the first response to a watch, without changes
	}
	r.reportUpdate(revision, len(changed))
	err := r.store.Apply(revision, changed)
	if err == nil {
		return
	}
	// Upstream changed a revision that it had reported before. Callers at that revision cannot get the difference as
	// changes, so all callers get the full list again.
	r.log.Error("upstream changes out of order", "error", err)
	merged := lists.NewStore(0)
	merged.Reset(0, r.store.Members())
	_ = merged.Apply(1, changed) // cannot fail: the store has a list, and revision 1 follows 0
	r.store.Reset(revision, merged.Members())
}

// reportUpdate calls OnUpdate for an update that is about to become available to callers.
func (r *Relay) reportUpdate(revision uint64, members int) {
	if r.options.OnUpdate != nil {
		r.options.OnUpdate(revision, members, time.Now())
	}
}

// difference returns the changes that turn one list into another.
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

// onResponse records a successful call to upstream that started at began. The result is already in the store, unless
// the revision has no changes.
func (r *Relay) onResponse(began time.Time, revision uint64) {
	if revision > r.store.Revision() { // a revision without changes causes no watch event
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

// becomeStale cancels the calls in flight, unless a response from upstream arrived in the meantime.
func (r *Relay) becomeStale() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isFreshLocked(time.Now()) {
		return
	}
	r.cancelCalls()
	r.log.Warn("relay stale, rejecting calls", "synced_at", r.syncedAtLocked())
}

// syncedAtLocked returns when the list was last known to be the newest, or when the relay started. The caller holds the
// mutex.
func (r *Relay) syncedAtLocked() time.Time {
	if r.syncedAt.IsZero() {
		return r.startedAt
	}
	return r.syncedAt
}

// isFreshLocked reports whether the relay may serve calls. The caller holds the mutex.
func (r *Relay) isFreshLocked(now time.Time) bool { return now.Sub(r.syncedAtLocked()) < staleAfter }

// awaitSync waits until the condition is true and returns how long that took, or 0 if it was true immediately. It
// evaluates the condition, with the mutex held, now and after each response from upstream. It returns errNotSynced
// after the timeout, and the context's error if that ends first.
func (r *Relay) awaitSync(ctx context.Context, timeout time.Duration, condition func() bool) (time.Duration, error) {
	began := time.Now()
	timer := time.NewTimer(timeout)
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

// checkSync evaluates a condition with the mutex held. It also returns a channel that is closed when the result may
// have changed.
func (r *Relay) checkSync(condition func() bool) (ok bool, synced <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return condition(), r.synced
}
