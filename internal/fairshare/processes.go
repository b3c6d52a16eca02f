package fairshare

import "time"

// processes is the processor time of the processes that share the processor with this one, because one of them replaces
// another. It grows only by what they have used since they were added. The scheduler's mutex guards it.
type processes struct {
	read   func(pid int) (time.Duration, error) // the processor time that a process has used
	last   map[int]time.Duration                // what each had used when it was last read, by process id
	summed time.Duration
}

// set replaces the processes by those with the given ids.
func (p *processes) set(pids []int) {
	p.sum()
	last := make(map[int]time.Duration, len(pids))
	for _, pid := range pids {
		if used, err := p.read(pid); err == nil {
			last[pid] = used
		}
	}
	p.last = last
}

// sum returns the processor time of all processes. One that has ended adds nothing more.
func (p *processes) sum() time.Duration {
	for pid, last := range p.last {
		used, err := p.read(pid)
		if err != nil {
			delete(p.last, pid)
			continue
		}
		p.summed += used - last
		p.last[pid] = used
	}
	return p.summed
}
