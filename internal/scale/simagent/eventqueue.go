package simagent

// heapArity is the number of children per node of the event heap.
const heapArity = 4

// eventQueue is a heap of events with the earliest one at index 0.
type eventQueue struct {
	events []event
	seq    uint64
}

func (q *eventQueue) push(ev event) {
	q.seq++
	ev.seq = q.seq
	q.events = append(q.events, ev)
	i := len(q.events) - 1
	for i > 0 {
		parent := (i - 1) / heapArity
		if !ev.before(&q.events[parent]) {
			break
		}
		q.events[i] = q.events[parent]
		i = parent
	}
	q.events[i] = ev
}

func (q *eventQueue) pop() event {
	first := q.events[0]
	n := len(q.events) - 1
	last := q.events[n]
	q.events[n] = event{} // release the pointers for the garbage collector
	q.events = q.events[:n]
	if n > 0 {
		q.siftDown(last)
	}
	return first
}

// siftDown replaces the first event by ev and restores the heap order.
func (q *eventQueue) siftDown(ev event) {
	i := 0
	for {
		least := heapArity*i + 1
		if least >= len(q.events) {
			break
		}
		for child := least + 1; child <= min(heapArity*(i+1), len(q.events)-1); child++ {
			if q.events[child].before(&q.events[least]) {
				least = child
			}
		}
		if !q.events[least].before(&ev) {
			break
		}
		q.events[i] = q.events[least]
		i = least
	}
	q.events[i] = ev
}
