package freshness

import (
	"sync"
	"time"

	"pollenscale/core/route"
	"pollenscale/internal/mutant"
)

// Nonce identifies a question to another daemon.
type Nonce uint64

// maxQuestions limits the questions without an answer that are kept. A daemon without a
// proof asks about ten daemons in a second.
const maxQuestions = 32

// dateFromQuestion is a mechanism that tests can switch off.
var dateFromQuestion = mutant.New("freshness/date-from-question")

// Questions are the questions to other daemons that have no answer yet. The zero value
// holds none.
type Questions struct {
	mu   sync.Mutex
	sent map[Nonce]Instant
}

// Sent records a question before it is sent. It drops the oldest one if there are too many.
func (q *Questions) Sent(n Nonce, now Instant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.sent == nil {
		q.sent = make(map[Nonce]Instant)
	}
	if len(q.sent) >= maxQuestions {
		var oldest Nonce
		first := true
		for nonce, at := range q.sent {
			if first || at < q.sent[oldest] {
				oldest, first = nonce, false
			}
		}
		delete(q.sent, oldest)
	}
	q.sent[n] = now
}

// Answered returns the proof in an answer that states the answerer's version and the age of
// its proof when it answered. The proof dates from when the question was sent, minus the
// age, so that an answer that was delayed or sent twice proves nothing too recent. It
// returns false if no such question is open or the age is negative.
func (q *Questions) Answered(n Nonce, version route.Version, age time.Duration, now Instant) (Proof, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	sent, ok := q.sent[n]
	delete(q.sent, n)
	if dateFromQuestion.Off() {
		sent = now
	}
	return Proof{Version: version, At: sent.Add(-age)}, ok && age >= 0
}
