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
	// Identify returns what a response, whose body may be cut off, shows about the run. Whatever stands at the address of the server may have
	// responded: what names neither this run nor another one is whole.Unknown.
	Identify func(hd http.Header, body []byte) whole.Life
}

// Prober asks servers. It is safe for concurrent use.
type Prober struct {
	pool *client.Pool
	// rounds are the rounds of calls in progress.
	rounds conc.WaitGroup

	// mu guards running, which holds the round in progress for each run of a server.
	mu      sync.Mutex
	running map[string]*round
}

// round is one round of calls to a server. life is set before done is closed; the prober's mu guards next, the round that follows.
type round struct {
	done chan struct{}
	life whole.Life
	next *round
}

func newRound() *round { return &round{done: make(chan struct{})} }

// New returns a prober that calls servers over the connections of a pool.
func New(pl *client.Pool) *Prober {
	return &Prober{pool: pl, running: make(map[string]*round)}
}

// Wait waits until no calls are in progress.
func (pr *Prober) Wait() { pr.rounds.Wait() }

// Ask returns whether a server runs, by a call that began after Ask was called. It returns whole.Unknown only once the context ends.
func (pr *Prober) Ask(ctx context.Context, qn Question) whole.Life {
	for {
		rd := pr.join(qn)
		select {
		case <-rd.done:
			if rd.life != (whole.Unknown{}) {
				return rd.life
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
		rd.life = pr.call(qn)
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
func (pr *Prober) call(qn Question) whole.Life {
	ctx, cancel := context.WithTimeout(context.Background(), roundTimeout)
	defer cancel()
	for pause := minRetryPause; ctx.Err() == nil; pause = min(2*pause, maxRetryPause) {
		life, err := pr.callOnce(ctx, qn)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return whole.Ended{}
		}
		if err == nil && life != (whole.Unknown{}) {
			return life
		}
		timer.Sleep(ctx, pause)
	}
	return whole.Unknown{}
}

// callOnce makes one call, over a connection of its own: nothing in the response to such a call tells it from a late copy of another one.
func (pr *Prober) callOnce(ctx context.Context, qn Question) (whole.Life, error) {
	resp, err := pr.pool.Do(ctx, qn.Address, &client.Request{Method: http.MethodGet, Target: qn.Target, Host: qn.Address, Fresh: true})
	if err != nil {
		return nil, err
	}
	defer resp.Close()
	// The header alone may show that the run goes on.
	body, _ := io.ReadAll(io.LimitReader(resp, maxBodyBytes))
	return qn.Identify(resp.Header, body), nil
}
