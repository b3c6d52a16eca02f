package discovery

import (
	"context"
	"errors"
	"time"

	"example.org/ryeloft/internal/balancer"
)

const (
	// oldPlaceAnswers is how long an inquiry goes on after discovery has moved: by the terms the old address closes open
	// connections after so long.
	oldPlaceAnswers = 1500 * time.Millisecond
	// callsBeside is how many calls one inquiry has open at a time.
	callsBeside = 2
	// assumedAnswer is how long a service takes for a call that has not answered yet.
	assumedAnswer = balancer.NotifyBoundAfterFailure / 20
	// leastPatience is how long a call is out at least before another is made beside it.
	leastPatience = balancer.NotifyBoundAfterFailure / 20
)

// ended is how one call of an inquiry ended.
type ended struct {
	list EndpointList
	err  error
}

// inquire asks for the list, or for what has changed, without a wait for news. A call that is not answered for a while
// gets another beside it, and the first answer of either counts: nothing tells a call that is lost from one that waits for
// its turn, and one that is given up keeps the service as busy as one that is answered.
//
// An answer that cannot be used ends the inquiry, as it counts as notified; other errors do once no call is open. If the
// list is to be had elsewhere, which ends the second context, the calls that are open have as long as the old place answers.
// Danger: were they given up, a series of moves would leave the agent without a list for as long as it goes on.
func (d *Client) inquire(life, here context.Context) (EndpointList, error) {
	ctx, cancel := context.WithCancel(life)
	defer cancel()
	results := make(chan ended, callsBeside)
	open := 0
	begin := func() {
		open++
		c := d.call(0)
		go func() {
			l, err := d.get(ctx, c)
			results <- ended{l, err}
		}()
	}
	begin()
	var beside <-chan time.Time
	if wait, ok := d.patience(); ok {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		beside = timer.C
	}
	moved := here.Done()
	for {
		select {
		case r := <-results:
			open--
			if r.err == nil || open == 0 || errors.Is(r.err, ErrMalformedList) || errors.Is(r.err, ErrTruncatedList) {
				return r.list, r.err
			}
		case <-beside:
			begin()
		case <-moved:
			moved, beside = nil, nil
			last := time.AfterFunc(oldPlaceAnswers, cancel)
			defer last.Stop()
		}
	}
}

// patience is how long an inquiry waits for its first call before it makes another beside it: half of what is left until what
// was missed counts as notified, but half of the time at least in which the service can answer each agent once. It is false
// where there is to be no other: relays are asked one after the other, where lists are pushed calls cost nothing and are
// made again instead, and after a call in vain it is more likely that the service is slow than that calls are lost.
func (d *Client) patience() (wait time.Duration, ok bool) {
	if d.route.relayed() || !d.ask() || d.vain > 0 {
		return 0, false
	}
	longest := askTimeout / 2
	if !d.notifiedAt.IsZero() {
		longest = min(longest, d.left()/2)
	}
	return max(leastPatience, longest, d.round()/2), true
}

// round is the time in which the service can answer each agent once, as far as is known: by its answers, and by calls that
// waited for nothing. Half of the bound is the most, as a service that is back has to be asked in time.
func (d *Client) round() time.Duration {
	return min(max(d.answer*time.Duration(d.set().Balancer.Agents), d.inVain), balancer.NotifyBoundAfterFailure/2)
}

// learnVain takes in that a call was out for so long and brought nothing: the service has more callers than it answers. Each
// such call in a row doubles the round.
func (d *Client) learnVain(took time.Duration) {
	d.inVain = min(max(2*d.inVain, took), balancer.NotifyBoundAfterFailure/2)
}

// learnAnswer takes in how long the service took for a call. The shortest times tell of its work, the others of its queue, so
// a shorter one counts at once and longer ones little by little.
func (d *Client) learnAnswer(took time.Duration) {
	const gain = 8 // one in so many parts of what is longer
	switch {
	case d.assumed || took < d.answer:
		d.answer, d.assumed = took, false
	default:
		d.answer += (took - d.answer) / gain
	}
}

// assumeAnswer begins anew with a service that has not answered yet: it takes as long as the one before, or so long as services
// were seen to take.
func (d *Client) assumeAnswer() {
	d.answer, d.assumed = max(d.answer, assumedAnswer), true
	d.inVain = 0
}
