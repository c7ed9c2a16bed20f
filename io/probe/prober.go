package probe

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"shallotcleat/core/whole"
	"shallotcleat/io/client"
	"shallotcleat/io/timer"
)

// Limits of the calls to one server.
const (
	// roundTimeout bounds a round of calls. A call may wait for a slot of the server like a request.
	roundTimeout = 2 * time.Second
	// minRetryPause and maxRetryPause bound the time between two calls of a round, which doubles. A process that ends may close its listener some
	// milliseconds after its connections.
	minRetryPause = 25 * time.Millisecond
	maxRetryPause = 200 * time.Millisecond
	// minRestart is the shortest time between the end of a process and the next one at its address that has its id. It bounds how long after the end
	// of an answer a connection that shows only the id is taken for one to the process that answered.
	minRestart = 100 * time.Millisecond
	// maxBodyBytes bounds the body of a response.
	maxBodyBytes = 1 << 20
)

// Question asks one run of a server whether it still runs.
type Question struct {
	// Run identifies the run of the server; questions about the same run share their calls.
	Run     string
	Address string
	// Target is the path that the server responds to without running anything.
	Target string
	// EndedAt is when the end of the answer that is in doubt arrived, which may be long before it was read.
	EndedAt time.Time
	// Identify returns what a response, whose body may be cut off, shows about the run, and whether it shows the run and not just the id of the
	// server. Whatever stands at the address of the server may have responded: what names neither this server nor another one is whole.Unknown.
	Identify func(hd http.Header, body []byte) (life whole.Life, showsRun bool)
}

// Prober asks servers. It is safe for concurrent use.
type Prober struct {
	pool *client.Pool
	// rounds are the rounds of calls in progress; Close ends calls, which they make.
	rounds conc.WaitGroup
	calls  context.Context
	end    context.CancelFunc

	// mu guards running, which holds the round in progress for each run of a server.
	mu      sync.Mutex
	running map[string]*round
}

// round is one round of calls to a server. response is set before done is closed; the prober's mu guards next, the round that follows.
type round struct {
	done     chan struct{}
	response response
	next     *round
}

// response is what a round of calls has shown.
type response struct {
	life whole.Life
	// showsRun is set if life is about the run of the server, and else only about its id.
	showsRun bool
	// establishedAt is when the connection was established that brought the response.
	establishedAt time.Time
}

// lifeAfter returns what the response shows about the server of an answer that ended at a time.
func (rs response) lifeAfter(endedAt time.Time) whole.Life {
	if rs.life == (whole.Running{}) && !rs.showsRun && rs.establishedAt.Sub(endedAt) >= minRestart {
		return whole.Unknown{}
	}
	return rs.life
}

func newRound() *round { return &round{done: make(chan struct{})} }

// New returns a prober that calls servers over the connections of a pool.
func New(pl *client.Pool) *Prober {
	calls, end := context.WithCancel(context.Background())
	return &Prober{pool: pl, calls: calls, end: end, running: make(map[string]*round)}
}

// Close ends the calls in progress and waits for their end. Questions that are asked afterwards get no response.
func (pr *Prober) Close() {
	pr.end()
	pr.rounds.Wait()
}

// Ask returns whether a server runs, by a call that began after Ask was called. It returns whole.Unknown once the context ends or the prober is
// closed, or if the response came too late to tell a run from the next one.
func (pr *Prober) Ask(ctx context.Context, qn Question) whole.Life {
	for {
		rd := pr.join(qn)
		select {
		case <-rd.done:
			if rd.response.life != (whole.Unknown{}) || pr.calls.Err() != nil {
				return rd.response.lifeAfter(qn.EndedAt)
			}
		case <-ctx.Done():
			return whole.Unknown{}
		}
	}
}

// join returns a round that has not begun, or begins it if none is in progress.
func (pr *Prober) join(qn Question) *round {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	current, ok := pr.running[qn.Run]
	if !ok {
		rd := newRound()
		pr.running[qn.Run] = rd
		pr.rounds.Go(func() { pr.run(qn, rd) })
		return rd
	}
	if current.next == nil {
		current.next = newRound()
	}
	return current.next
}

// run runs rounds until nobody waits for another one.
func (pr *Prober) run(qn Question, rd *round) {
	for rd != nil {
		rd.response = pr.call(qn)
		close(rd.done)
		pr.mu.Lock()
		if rd = rd.next; rd != nil {
			pr.running[qn.Run] = rd
		} else {
			delete(pr.running, qn.Run)
		}
		pr.mu.Unlock()
	}
}

// call calls a server until a response or a refused connection shows whether the run still runs, or the time is over. A connection that is closed
// without a response shows nothing: it may be one too many for the server.
func (pr *Prober) call(qn Question) response {
	ctx, cancel := context.WithTimeout(pr.calls, roundTimeout)
	defer cancel()
	for pause := minRetryPause; ctx.Err() == nil; pause = min(2*pause, maxRetryPause) {
		shown, err := pr.callOnce(ctx, qn)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return response{life: whole.Ended{}}
		}
		if err == nil && shown.life != (whole.Unknown{}) {
			return shown
		}
		timer.Sleep(ctx, pause)
	}
	return response{life: whole.Unknown{}}
}

// callOnce makes one call, over a connection of its own: nothing in the response to such a call tells it from a late copy of another one.
func (pr *Prober) callOnce(ctx context.Context, qn Question) (response, error) {
	resp, err := pr.pool.Do(ctx, qn.Address, &client.Request{Method: http.MethodGet, Target: qn.Target, Host: qn.Address, Fresh: true})
	if err != nil {
		return response{}, err
	}
	defer resp.Close()
	// The header alone may show that the run goes on.
	body, _ := io.ReadAll(io.LimitReader(resp, maxBodyBytes))
	life, showsRun := qn.Identify(resp.Header, body)
	return response{life: life, showsRun: showsRun, establishedAt: resp.EstablishedAt()}, nil
}
