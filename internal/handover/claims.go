package handover

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// While two processes run, a client may send two requests with one id, one to each. The older process owns the ids: the newer
// claims the id of each request from it before it takes the request. Each kind of line is sent only to a process that has said
// that it knows them, which one of an earlier release does not.
const (
	// claimsWord asks an older process whether it answers claims, and is its answer.
	claimsWord = "claims"
	// claimWord claims an id; freeWord and takenWord answer that.
	claimWord = "claim"
	freeWord  = "free"
	takenWord = "taken"
	// seenWord names ids of requests that the older process had, as it ends.
	seenWord = "seen"

	// claimTimeout bounds the wait for the answer to a claim. A process that is slower is not asked again: a request is not
	// held up for the sake of ids, which clients are not to repeat.
	claimTimeout = 50 * time.Millisecond
	// seenPerLine is how many ids go into one line.
	seenPerLine = 3
)

// RequestIDs are the ids of the requests that this process has taken, as hashes.
type RequestIDs interface {
	// Claim notes the id of a request that another process is to take, and returns whether it was free.
	Claim(id uint64) bool
	// DropClaims forgets the claimed ids.
	DropClaims()
	// Known returns the ids of requests that this process has taken lately.
	Known() []uint64
	// Add notes the id of a request that another process has taken.
	Add(id uint64)
}

// Claim returns whether this process may take a request with an id: no older process has taken one with the same id. On a nil
// Handover, that of a process without others, it may.
func (h *Handover) Claim(id uint64) bool {
	if h == nil {
		return true
	}
	for _, answer := range h.sendClaims(id) {
		if !h.awaitClaim(id, answer) {
			return false
		}
	}
	return true
}

// pendingClaim is a claim that an older process has not answered yet.
type pendingClaim struct {
	peer   *peerProcess
	answer chan bool // holds one
}

// sendClaims claims an id from each older process that answers claims.
func (h *Handover) sendClaims(id uint64) []pendingClaim {
	h.mu.Lock()
	defer h.mu.Unlock()
	var pending []pendingClaim
	for conn, p := range h.peers {
		if p.newer || !p.answersClaims {
			continue
		}
		claim := pendingClaim{peer: p, answer: make(chan bool, 1)}
		p.claims[id] = claim.answer
		pending = append(pending, claim)
		send(conn, fmt.Sprintf("%s %016x\n", claimWord, id))
	}
	return pending
}

// awaitClaim waits for the answer to a claim. A process that has ended, or does not answer, has no objection.
func (h *Handover) awaitClaim(id uint64, claim pendingClaim) (free bool) {
	limit := time.NewTimer(claimTimeout)
	defer limit.Stop()
	select {
	case free = <-claim.answer:
		return free
	case <-limit.C:
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if claim.peer.answersClaims {
		claim.peer.answersClaims = false
		h.log.Warn("peer process does not answer claims of request ids", "within", claimTimeout)
	}
	delete(claim.peer.claims, id)
	return true
}

// receiveClaimLine takes a line about ids, and returns whether it is one.
func (h *Handover) receiveClaimLine(conn net.Conn, p *peerProcess, line string) bool {
	words := strings.Split(line, " ")
	switch words[0] {
	case claimsWord:
		h.claimsAnswered(conn, p)
	case claimWord:
		for _, id := range parseIDs(words[1:]) {
			answer := takenWord
			if p.newer && h.ids.Claim(id) {
				answer = freeWord
			}
			send(conn, fmt.Sprintf("%s %016x\n", answer, id))
		}
	case freeWord, takenWord:
		for _, id := range parseIDs(words[1:]) {
			h.settleClaim(p, id, words[0] == freeWord)
		}
	case seenWord:
		for _, id := range parseIDs(words[1:]) {
			h.ids.Add(id)
		}
	default:
		return false
	}
	return true
}

// claimsAnswered notes that the other process knows claims; an older one says so in answer.
func (h *Handover) claimsAnswered(conn net.Conn, p *peerProcess) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p.answersClaims = true
	if p.newer {
		send(conn, claimsWord+"\n")
	}
}

// settleClaim hands the answer to a claim to who waits for it, if anybody still does.
func (h *Handover) settleClaim(p *peerProcess, id uint64, free bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if answer := p.claims[id]; answer != nil {
		answer <- free
		delete(p.claims, id)
	}
}

// settleAllClaims answers what a process that has ended has left. The mutex is held.
func (p *peerProcess) settleAllClaims() {
	p.answersClaims = false
	for id, answer := range p.claims {
		answer <- true
		delete(p.claims, id)
	}
}

// sendSeen notifies a newer process of the ids that this one has taken, as it ends. The mutex is held.
func (h *Handover) sendSeen(conn net.Conn) {
	var text strings.Builder
	for i, id := range h.ids.Known() {
		switch {
		case i == 0:
			text.WriteString(seenWord)
		case i%seenPerLine == 0:
			text.WriteString("\n" + seenWord)
		}
		fmt.Fprintf(&text, " %016x", id)
	}
	if text.Len() > 0 {
		send(conn, text.String()+"\n")
	}
}

// parseIDs reads ids. What is none is left out.
func parseIDs(words []string) []uint64 {
	var ids []uint64
	for _, word := range words {
		if id, err := strconv.ParseUint(word, 16, 64); err == nil {
			ids = append(ids, id)
		}
	}
	return ids
}
