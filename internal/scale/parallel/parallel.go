// Package parallel runs a function for several items at a time. It keeps no state, and no goroutine outlives a call.
package parallel

import (
	"errors"
	"sync"
)

// ForEach calls do for all items in order, at most limit at a time, and returns when all calls have returned, with all their
// errors in the items' order.
func ForEach[T any](items []T, limit int, do func(T) error) error {
	errs := make([]error, len(items))
	slots := make(chan struct{}, limit)
	var calls sync.WaitGroup
	for i, item := range items {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			errs[i] = do(item)
		})
	}
	calls.Wait()
	return errors.Join(errs...)
}
