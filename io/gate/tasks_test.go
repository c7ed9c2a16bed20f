package gate

import (
	"sync"
	"testing"
)

// Guards against a data race at the end of a gate: a call began while the gate already waited for the last one.
func TestTasksStartedDuringClose(t *testing.T) {
	for range 200 {
		var ts tasks
		var wg sync.WaitGroup
		var mu sync.Mutex
		started, ran := 0, 0
		for range 4 {
			wg.Go(func() {
				if ts.start(func() { mu.Lock(); ran++; mu.Unlock() }) {
					mu.Lock()
					started++
					mu.Unlock()
				}
			})
		}
		wg.Go(ts.close)
		wg.Wait()
		if started != ran {
			t.Fatalf("%d tasks were started, %d ran before the end", started, ran)
		}
		if ts.start(func() {}) {
			t.Fatal("a task was started after the end")
		}
	}
}
