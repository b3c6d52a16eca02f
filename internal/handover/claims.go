package handover

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

// While two processes run, a client may send two requests with the same id, one to each process. The older process owns
// the ids: the newer one claims the id of each request from it before it accepts the request. The words below, other
// than claimsWord, are sent only to a process that has sent claimsWord. A process of an earlier release never sends it.
const (
	// claimsWord asks an older process whether it answers claims. The older process answers with the same word.
	claimsWord = "claims"
	// claimWord claims an id; freeWord and takenWord are the answers.
	claimWord = "claim"
	freeWord  = "free"
	takenWord = "taken"
	// seenWord is followed by ids of requests of the older process. It is sent when that process ends.
	seenWord = "seen"

	// claimTimeout bounds the wait for the answer to a claim. No further claims are sent to a process that is slower:
	// requests must not be delayed to detect duplicate ids, because clients should not reuse ids anyway.
	claimTimeout = 50 * time.Millisecond
	// seenPerLine is the number of ids in one line.
	seenPerLine = 3
)

// RequestIDs stores the ids of the requests that this process has accepted, as hashes.
type RequestIDs interface {
	// Claim records an id for a request of another process and reports whether the id was free.
	Claim(id uint64) bool
	// DropClaims removes the claimed ids.
	DropClaims()
	// Known returns the ids of the requests that this process has recently accepted.
	Known() []uint64
	// Add records the id of a request that another process has accepted.
	Add(id uint64)
}

// Claim reports whether this process may accept a request with the given id, because no older process has accepted one
// with the same id. On a nil Handover, which a process without peers has, it returns true.
func (h *Handover) Claim(id uint64) bool {
	if h == nil {
		return true
	}
	for _, claim := range h.sendClaims(id) {
		if !h.awaitClaim(id, claim) {
			return false
		}
	}
	return true
}

// pendingClaim is a claim that an older process has not answered yet.
type pendingClaim struct {
	peer   *peerProcess
	answer chan bool // has a capacity of one
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

// awaitClaim waits for the answer to a claim and reports whether the id is free. The id counts as free if the process
// has ended or does not answer in time.
func (h *Handover) awaitClaim(id uint64, claim pendingClaim) (free bool) {
	timer := time.NewTimer(claimTimeout)
	defer timer.Stop()
	select {
	case free = <-claim.answer:
		return free
	case <-timer.C:
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if claim.peer.answersClaims {
		claim.peer.answersClaims = false
		h.log.Warn("peer process does not answer request id claims", "within", claimTimeout)
	}
	delete(claim.peer.claims, id)
	return true
}

// receiveClaimLine handles a line about request ids, and reports whether the line is one.
func (h *Handover) receiveClaimLine(conn net.Conn, p *peerProcess, line string) bool {
	words := strings.Split(line, " ")
	switch words[0] {
	case claimsWord:
		h.peerAnswersClaims(conn, p)
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
			h.resolveClaim(p, id, words[0] == freeWord)
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

// peerAnswersClaims records that the other process supports claims. An older process confirms it to a newer one.
func (h *Handover) peerAnswersClaims(conn net.Conn, p *peerProcess) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p.answersClaims = true
	if p.newer {
		send(conn, claimsWord+"\n")
	}
}

// resolveClaim passes the answer to a claim to the goroutine that waits for it, if there still is one.
func (h *Handover) resolveClaim(p *peerProcess, id uint64, free bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if answer := p.claims[id]; answer != nil {
		answer <- free
		delete(p.claims, id)
	}
}

// resolveAllClaims resolves all pending claims as free when a process has ended. The caller holds the mutex.
func (p *peerProcess) resolveAllClaims() {
	p.answersClaims = false
	for id, answer := range p.claims {
		answer <- true
		delete(p.claims, id)
	}
}

// sendSeen sends the ids of this process's requests to a newer process when this one ends. The caller holds the mutex.
func (h *Handover) sendSeen(conn net.Conn) {
	conn.SetWriteDeadline(time.Now().Add(socketTimeout))
	text := bufio.NewWriter(conn) // its first error is returned by Flush
	for ids := range slices.Chunk(h.ids.Known(), seenPerLine) {
		_, _ = text.WriteString(seenWord)
		for _, id := range ids {
			_, _ = fmt.Fprintf(text, " %016x", id)
		}
		_ = text.WriteByte('\n')
	}
	if err := text.Flush(); err != nil {
		h.log.Warn("request ids not handed over", "error", err)
	}
}

// parseIDs parses ids and skips invalid ones.
func parseIDs(words []string) []uint64 {
	var ids []uint64
	for _, word := range words {
		if id, err := strconv.ParseUint(word, 16, 64); err == nil {
			ids = append(ids, id)
		}
	}
	return ids
}
