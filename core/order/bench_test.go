package order

import (
	"testing"
	"time"
)

// BenchmarkLedger measures the ledger operations of one order, from grant to confirmation, with 256 other live tickets.
func BenchmarkLedger(b *testing.B) {
	now := time.Unix(0, 0)
	lg := NewLedger("agent", 1, time.Hour, 1000)
	for range 256 {
		lg.Grant(now)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		tk, _ := lg.Grant(now)
		lg.Redeem(now, tk, "key", Row{})
		lg.Finish(now, tk, Answered{})
		lg.Confirm(tk)
	}
}

// BenchmarkAttempt measures the state transitions of one attempt.
func BenchmarkAttempt(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		at := NewAttempt("attempt", "request", "digest")
		at.Step(Begin{})
		at.Step(NewGranted(NewTicket("agent", 1, 1)))
		at.Step(NewCommitted(1))
		at.Step(NewReported(NewAnswered(NewResult(201, "{}"))))
		at.Step(NewCommitted(2))
	}
}
