// Package parallel calls a function for several items concurrently. It keeps no state, and no goroutine outlives a
// call.
package parallel

import (
	"errors"
	"sync"
)

// ForEach calls do for each item, starting the calls in order and running at most limit at a time. It returns after all
// calls have returned, with their errors joined in the order of the items.
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
