package crash

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	badPart = 1 << 40
	// rareSubject is a part that one of about 130 sound prompts has.
	rareSubject = 150
)

// simCall is a call in a simulation.
type simCall struct {
	parts   []uint64
	process int
	server  int
	sentAt  time.Duration
	// answersAt is when the server begins its answer, and endsAt when it has ended.
	answersAt, endsAt time.Duration
	attempt           int
}

// simMessage is a message to all processes but its sender.
type simMessage struct {
	sender    int
	arrivesAt time.Duration
	reports   []Report
	sightings []Sighting
}

// simDelay is the greatest delay of messages between processes.
const simDelay = 250 * time.Millisecond

// sim simulates servers that crash on badPart, or in waves for other reasons, and processes that send calls to them.
type sim struct {
	random    *rand.Rand
	detectors []*Detector
	messages  []simMessage
	start     time.Time
	now       time.Duration
	running   []simCall
	// downUntil holds, by server, when it is back after its last crash; incarnation distinguishes its starts.
	downUntil   []time.Duration
	incarnation []uint64
	badCrashes  []time.Duration
	badSends    []time.Duration
	refused     map[uint64]int
	// meanTime is the mean time until a server begins its answer.
	meanTime time.Duration
}

func newSim(seed uint64, processes, servers int) *sim {
	sm := &sim{random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1000, 0), downUntil: make([]time.Duration, servers),
		incarnation: make([]uint64, servers), refused: make(map[uint64]int)}
	for range processes {
		sm.detectors = append(sm.detectors, NewDetector())
	}
	return sm
}

// tell sends a message, unless it is empty.
func (sm *sim) tell(sender int, reports []Report, sightings []Sighting) {
	if len(reports)+len(sightings) > 0 {
		arrivesAt := sm.now + time.Duration(sm.random.Int64N(int64(simDelay)))
		sm.messages = append(sm.messages, simMessage{sender: sender, arrivesAt: arrivesAt, reports: reports, sightings: sightings})
	}
}

// deliver delivers the messages that arrive now.
func (sm *sim) deliver() {
	due := slices.Clone(sm.messages)
	sm.messages = slices.DeleteFunc(sm.messages, func(msg simMessage) bool { return msg.arrivesAt <= sm.now })
	for _, msg := range due {
		for process, dt := range sm.detectors {
			if msg.arrivesAt > sm.now || process == msg.sender {
				continue
			}
			dt.AddSightings(msg.sightings)
			for _, rp := range msg.reports {
				sm.tell(process, nil, dt.AddReport(rp))
			}
		}
	}
}

func (sm *sim) send(parts []uint64, process, attempt int) {
	if sm.detectors[process].Decide(sm.start.Add(sm.now), parts, true).Forbidden {
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
	answersAt := sm.now + sm.meanTime/4 + time.Duration(sm.random.Int64N(int64(sm.meanTime*3/2)))
	sm.running = append(sm.running, simCall{parts: parts, process: process, server: server, sentAt: sm.now, answersAt: answersAt,
		endsAt: answersAt + time.Duration(20+sm.random.IntN(200))*time.Millisecond, attempt: attempt})
}

// crash ends a server; each process reports its calls, which are sent once more.
func (sm *sim) crash(server int) {
	at := sm.start.Add(sm.now)
	sm.downUntil[server] = sm.now + 2*time.Second
	sm.incarnation[server]++
	suspects := make(map[int]map[uint64]time.Time)
	var repeated []simCall
	sm.running = slices.DeleteFunc(sm.running, func(sc simCall) bool {
		if sc.server != server {
			return false
		}
		if suspects[sc.process] == nil {
			suspects[sc.process] = make(map[uint64]time.Time)
		}
		for _, part := range sc.parts {
			suspects[sc.process][part] = sm.start.Add(sc.sentAt)
		}
		if sc.attempt == 1 {
			repeated = append(repeated, sc)
		}
		return true
	})
	for process, dt := range sm.detectors {
		if suspects[process] == nil {
			continue
		}
		rp := NewReport(uint64(server)+sm.incarnation[server]<<16, uint64(server), at, suspects[process])
		sm.tell(process, []Report{rp}, dt.AddReport(rp))
	}
	for _, sc := range repeated {
		sm.send(sc.parts, sc.process, 2)
	}
}

// step advances the time by 10 ms.
func (sm *sim) step() {
	sm.now += 10 * time.Millisecond
	sm.deliver()
	if sm.now%(100*time.Millisecond) == 0 {
		for _, dt := range sm.detectors {
			dt.Refresh(sm.start.Add(sm.now))
		}
	}
	for i := 0; i < len(sm.running); i++ {
		sc := sm.running[i]
		switch {
		case sm.now >= sc.answersAt && slices.Contains(sc.parts, badPart):
			sm.badCrashes = append(sm.badCrashes, sm.now)
			sm.crash(sc.server)
			i = -1
		case sm.now >= sc.endsAt:
			sm.running = slices.Delete(sm.running, i, i+1)
			sm.tell(sc.process, nil, sm.detectors[sc.process].AddServed(sm.start.Add(sm.now), sc.parts))
			i--
		}
	}
}

// A part on which servers crash is blamed soon after the fifth crash, also while servers crash for other reasons, and hardly any other part
// is.
func TestOnlyCrashingPartIsBlamed(t *testing.T) {
	tests := []struct {
		name string
		// processes is the number of processes that send calls; badPerSecond and wavePeriod are the rate of prompts with badPart and the time between waves, in which a sixth of the servers
		// crashes.
		processes    int
		badPerSecond int
		wavePeriod   time.Duration
		meanTime     time.Duration
		// sameSubject is set if all prompts with badPart have the same subject, which is rare in others.
		sameSubject bool
	}{
		{"alone", 5, 5, 0, 300 * time.Millisecond, false},
		{"one process", 1, 5, 0, 300 * time.Millisecond, false},
		{"many processes", 30, 5, 0, 300 * time.Millisecond, false},
		{"many", 5, 30, 0, 300 * time.Millisecond, false},
		{"rare", 5, 1, 0, 300 * time.Millisecond, false},
		{"long times", 5, 10, 0, 1500 * time.Millisecond, false},
		{"same subject", 5, 5, 0, 300 * time.Millisecond, true},
		{"same subject, with waves", 5, 5, 3 * time.Second, 300 * time.Millisecond, true},
		{"with waves", 5, 5, 3 * time.Second, 300 * time.Millisecond, false},
		{"waves only", 5, 0, 2 * time.Second, 300 * time.Millisecond, false},
		{"waves only, long times", 5, 0, 2 * time.Second, 1500 * time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			refusedSound, soundSends := 0, 0
			for seed := range uint64(10) {
				sm := newSim(seed, tt.processes, 18)
				sm.meanTime = tt.meanTime
				for sm.now < 40*time.Second {
					sm.step()
					if sm.random.IntN(100) < 80 {
						sm.send(sm.prompt(), sm.random.IntN(tt.processes), 1)
						soundSends++
					}
					if sm.now > 5*time.Second && sm.random.IntN(100) < tt.badPerSecond {
						parts := sm.prompt()
						if tt.sameSubject {
							parts[2] = rareSubject
						}
						sm.send([]uint64{parts[0], badPart, parts[1], parts[2]}, sm.random.IntN(tt.processes), 1)
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
