package crash

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const badPart = 1 << 40

// simCall is a call in a simulation.
type simCall struct {
	parts  []uint64
	server int
	sentAt time.Duration
	// answersAt is when the server begins its answer, and endsAt when it has ended.
	answersAt, endsAt time.Duration
	attempt           int
}

// sim simulates servers that crash on badPart, or in waves for other reasons, and processes that share one detector.
type sim struct {
	random   *rand.Rand
	detector *Detector
	start    time.Time
	now      time.Duration
	running  []simCall
	// downUntil holds, by server, when it is back after its last crash; incarnation distinguishes its starts.
	downUntil   []time.Duration
	incarnation []uint64
	badCrashes  []time.Duration
	badSends    []time.Duration
	refused     map[uint64]int
}

func (sm *sim) send(parts []uint64, attempt int) {
	if sm.detector.Decide(sm.start.Add(sm.now), parts, func() bool { return false }).Forbidden {
		if !slices.Contains(parts, badPart) {
			sm.refused[parts[2]]++
		}
		return
	}
	server := sm.random.IntN(len(sm.downUntil))
	if sm.now < sm.downUntil[server] {
		return
	}
	if slices.Contains(parts, badPart) {
		sm.badSends = append(sm.badSends, sm.now)
	}
	answersAt := sm.now + time.Duration(100+sm.random.IntN(400))*time.Millisecond
	sm.running = append(sm.running, simCall{parts: parts, server: server, sentAt: sm.now, answersAt: answersAt,
		endsAt: answersAt + time.Duration(20+sm.random.IntN(200))*time.Millisecond, attempt: attempt})
}

// crash ends a server; its running calls are reported and sent once more.
func (sm *sim) crash(server int) {
	at := sm.start.Add(sm.now)
	suspects := make(map[uint64]time.Time)
	var repeated []simCall
	sm.running = slices.DeleteFunc(sm.running, func(sc simCall) bool {
		if sc.server != server {
			return false
		}
		for _, part := range sc.parts {
			suspects[part] = sm.start.Add(sc.sentAt)
		}
		if sc.attempt == 1 {
			repeated = append(repeated, sc)
		}
		return true
	})
	sm.downUntil[server] = sm.now + 2*time.Second
	sm.incarnation[server]++
	sm.detector.AddReport(at, NewReport(uint64(server)+sm.incarnation[server]<<16, at, suspects))
	for _, sc := range repeated {
		sm.send(sc.parts, 2)
	}
}

// step advances the time by 10 ms.
func (sm *sim) step() {
	sm.now += 10 * time.Millisecond
	for i := 0; i < len(sm.running); i++ {
		sc := sm.running[i]
		switch {
		case sm.now >= sc.answersAt && slices.Contains(sc.parts, badPart):
			sm.badCrashes = append(sm.badCrashes, sm.now)
			sm.crash(sc.server)
			i = -1
		case sm.now >= sc.endsAt:
			sm.running = slices.Delete(sm.running, i, i+1)
			sm.detector.AddServed(sm.start.Add(sm.now), sc.parts)
			i--
		}
	}
}

// A part on which servers crash is blamed soon after the fifth crash, also while servers crash for other reasons, and hardly any other part
// is.
func TestOnlyCrashingPartIsBlamed(t *testing.T) {
	tests := []struct {
		name string
		// badPerSecond and wavePeriod are the rate of prompts with badPart and the time between waves, in which a sixth of the servers
		// crashes.
		badPerSecond int
		wavePeriod   time.Duration
	}{
		{"alone", 5, 0},
		{"many", 30, 0},
		{"rare", 1, 0},
		{"with waves", 5, 3 * time.Second},
		{"waves only", 0, 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			refusedSound, soundSends := 0, 0
			for seed := range uint64(10) {
				sm := &sim{random: rand.New(rand.NewPCG(seed, 1)), detector: NewDetector(), start: time.Unix(1000, 0),
					downUntil: make([]time.Duration, 18), incarnation: make([]uint64, 18), refused: make(map[uint64]int)}
				for sm.now < 40*time.Second {
					sm.step()
					if sm.random.IntN(100) < 80 {
						sm.send(sm.prompt(), 1)
						soundSends++
					}
					if sm.now > 5*time.Second && sm.random.IntN(100) < tt.badPerSecond {
						parts := sm.prompt()
						sm.send([]uint64{parts[0], badPart, parts[1], parts[2]}, 1)
					}
					if tt.wavePeriod > 0 && sm.now%tt.wavePeriod == 0 {
						for range 3 {
							sm.crash(sm.random.IntN(len(sm.downUntil)))
						}
					}
				}
				for _, count := range sm.refused {
					refusedSound += count
				}
				sm.checkBadSends(t, seed, tt.badPerSecond)
			}
			if refusedSound*1000 > soundSends {
				t.Errorf("%d of %d sound prompts were refused", refusedSound, soundSends)
			}
			t.Logf("%d of %d sound prompts were refused", refusedSound, soundSends)
		})
	}
}

// prompt returns the parts of a sound prompt: one for all, one of a workspace and a subject, of which most are rare.
func (sm *sim) prompt() []uint64 {
	subject := uint64(400 * sm.random.Float64() * sm.random.Float64() * sm.random.Float64())
	return []uint64{1, 10 + uint64(sm.random.IntN(8)), 100 + subject}
}

// checkBadSends checks that at most three prompts with badPart are sent later than 3 s after the fifth crash.
func (sm *sim) checkBadSends(t *testing.T, seed uint64, badPerSecond int) {
	t.Helper()
	if badPerSecond == 0 {
		return
	}
	if len(sm.badCrashes) < minChain {
		t.Fatalf("seed %d: only %d crashes", seed, len(sm.badCrashes))
	}
	late := 0
	for _, sentAt := range sm.badSends {
		if len(sm.badCrashes) >= 5 && sentAt > sm.badCrashes[4]+3*time.Second {
			late++
		}
	}
	if late > 3 {
		t.Errorf("seed %d: %d prompts were sent later than 3 s after the fifth crash", seed, late)
	}
}
