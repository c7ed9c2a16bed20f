package trace

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"shallotcleat/core/stamp"
)

// ringCapacity is the number of events that a process keeps; each takes about 300 bytes.
const ringCapacity = 20_000

// Recorder records the events and metrics of one process. Its methods are safe for concurrent use.
type Recorder struct {
	process string
	log     *logrus.Entry
	metrics *Metrics
	handler http.Handler

	// mu guards the clock and the ring.
	mu    sync.Mutex
	clock stamp.Clock
	ring  []Event
	next  int
}

// Metrics holds the metric instruments of a process.
type Metrics struct {
	requests     metric.Int64Counter
	refusals     metric.Int64Counter
	promptTokens metric.Int64Counter
	cachedTokens metric.Int64Counter
	firstToken   metric.Float64Histogram
	queueWait    metric.Float64Histogram
	streamPause  metric.Float64Histogram
	handOvers    metric.Int64Counter
	controlBytes metric.Int64Counter
	loadOrders   metric.Int64Counter
	weightLoad   metric.Float64Histogram
}

// pauseBoundaries are the buckets of the longest pauses of streams in seconds; routes ask for pauses of at most 0.4 or 0.5 s.
var pauseBoundaries = []float64{0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.35, 0.4, 0.5, 0.7, 1, 2, 5}

// New returns the recorder of a process.
func New(process string, lg *logrus.Entry) (*Recorder, error) {
	registry := prom.NewRegistry()
	exporter, err := prometheus.New(prometheus.WithRegisterer(registry))
	if err != nil {
		return nil, fmt.Errorf("create metrics exporter: %w", err)
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	ms, err := newMetrics(provider.Meter("shallotcleat"))
	if err != nil {
		return nil, fmt.Errorf("create metrics: %w", err)
	}
	rc := &Recorder{
		process: process,
		log:     lg,
		metrics: ms,
		handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		ring:    make([]Event, 0, 64),
	}
	return rc, nil
}

func newMetrics(mt metric.Meter) (*Metrics, error) {
	var errs [11]error
	ms := &Metrics{}
	ms.requests, errs[0] = mt.Int64Counter("requests", metric.WithDescription("Requests answered, by outcome."))
	ms.refusals, errs[1] = mt.Int64Counter("refusals", metric.WithDescription("Requests refused, by code."))
	ms.promptTokens, errs[2] = mt.Int64Counter("prompt_tokens", metric.WithDescription("Prompt tokens of model calls."))
	ms.cachedTokens, errs[3] = mt.Int64Counter("cached_tokens", metric.WithDescription("Prompt tokens found in a cache."))
	ms.firstToken, errs[4] = mt.Float64Histogram("first_token", metric.WithUnit("s"),
		metric.WithDescription("Time to the first token."))
	ms.queueWait, errs[5] = mt.Float64Histogram("queue_wait", metric.WithUnit("s"),
		metric.WithDescription("Time in an agent's queue."))
	ms.controlBytes, errs[6] = mt.Int64Counter("control", metric.WithUnit("By"),
		metric.WithDescription("Bytes of messages that carry no request."))
	ms.loadOrders, errs[7] = mt.Int64Counter("weight_orders",
		metric.WithDescription("Orders to load weights, by the engine's verdict."))
	ms.weightLoad, errs[8] = mt.Float64Histogram("weight_load", metric.WithUnit("s"),
		metric.WithDescription("Time for which an engine took no calls since it loaded weights."))
	ms.streamPause, errs[9] = mt.Float64Histogram("stream_pause", metric.WithUnit("s"),
		metric.WithDescription("Longest pause between two events of a stream, one value for each stream."),
		metric.WithExplicitBucketBoundaries(pauseBoundaries...))
	ms.handOvers, errs[10] = mt.Int64Counter("hand_overs", metric.WithDescription("Hand-overs of running streams to other engines, by result."))
	for _, err := range errs {
		if err != nil {
			return nil, fmt.Errorf("create instrument: %w", err)
		}
	}
	return ms, nil
}

// Log returns the process's logger.
func (rc *Recorder) Log() *logrus.Entry { return rc.log }

// Process returns the process's name in events.
func (rc *Recorder) Process() string { return rc.process }

// Handler serves the metrics in the Prometheus text format.
func (rc *Recorder) Handler() http.Handler { return rc.handler }

// Stamp returns a new timestamp, later than all that this process has created or observed.
func (rc *Recorder) Stamp() stamp.Stamp {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.clock.Next(time.Now())
}

// Observe advances the clock to the timestamp of a received message.
func (rc *Recorder) Observe(st stamp.Stamp) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.clock.Observe(st)
}

// RecordEvent records an event; requestID is empty for an event of the process itself, fields are pairs of name and value.
func (rc *Recorder) RecordEvent(requestID string, kind Kind, fields ...string) {
	ev := Event{Process: rc.process, Request: requestID, Kind: kind}
	if len(fields) > 0 {
		ev.Fields = make(map[string]string, len(fields)/2)
	}
	for i := 0; i+1 < len(fields); i += 2 {
		ev.Fields[fields[i]] = fields[i+1]
	}
	rc.buffer(&ev)
	rc.logEvent(ev)
}

// buffer sets the timestamp of the event and stores it in the ring, in place of the oldest event if the ring is full.
func (rc *Recorder) buffer(ev *Event) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	ev.Stamp = rc.clock.Next(time.Now())
	if len(rc.ring) < ringCapacity {
		rc.ring = append(rc.ring, *ev)
		return
	}
	rc.ring[rc.next] = *ev
	rc.next = (rc.next + 1) % ringCapacity
}

// logEvent writes a log line for the event. Events of requests are logged only if level debug is enabled.
func (rc *Recorder) logEvent(ev Event) {
	if !rc.log.Logger.IsLevelEnabled(logrus.DebugLevel) && ev.Request != "" {
		return
	}
	fields := logrus.Fields{"stamp": uint64(ev.Stamp), "event": string(ev.Kind)}
	if ev.Request != "" {
		fields["request_id"] = ev.Request
	}
	for name, value := range ev.Fields {
		fields[name] = value
	}
	rc.log.WithFields(fields).Info(string(ev.Kind))
}

// Events returns the latest events, oldest first and at most limit: those of one request, or all if requestID is empty.
func (rc *Recorder) Events(requestID string, limit int) []Event {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	var out []Event
	for i := range rc.ring {
		ev := rc.ring[(rc.next+i)%len(rc.ring)]
		if requestID == "" || ev.Request == requestID {
			out = append(out, ev)
		}
	}
	if len(out) > limit {
		out = out[len(out)-limit:]
	}
	return out
}

// CountAnswer counts an answered request by outcome.
func (rc *Recorder) CountAnswer(outcome string) {
	rc.metrics.requests.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

// CountRefusal counts a refused request by code.
func (rc *Recorder) CountRefusal(code string) {
	rc.metrics.refusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("code", code)))
}

// CountTokens adds the prompt tokens of a model call and the number of them found in a cache.
func (rc *Recorder) CountTokens(prompt, cached int64) {
	rc.metrics.promptTokens.Add(context.Background(), prompt)
	rc.metrics.cachedTokens.Add(context.Background(), cached)
}

// RecordFirstToken records the time to the first token of a model call.
func (rc *Recorder) RecordFirstToken(elapsed time.Duration) {
	rc.metrics.firstToken.Record(context.Background(), elapsed.Seconds())
}

// RecordQueueWait records the time of a request in an agent's queue.
func (rc *Recorder) RecordQueueWait(elapsed time.Duration) {
	rc.metrics.queueWait.Record(context.Background(), elapsed.Seconds())
}

// RecordStreamPause records the longest pause between two events of a stream.
func (rc *Recorder) RecordStreamPause(longest time.Duration) {
	rc.metrics.streamPause.Record(context.Background(), longest.Seconds())
}

// CountHandOver counts a hand-over of a running stream by its result.
func (rc *Recorder) CountHandOver(result string) {
	rc.metrics.handOvers.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
}

// CountControlBytes adds the size in bytes of a message that carries no request.
func (rc *Recorder) CountControlBytes(size int) {
	rc.metrics.controlBytes.Add(context.Background(), int64(size))
}

// CountLoadOrder counts a load order by the engine's verdict.
func (rc *Recorder) CountLoadOrder(verdict string) {
	rc.metrics.loadOrders.Add(context.Background(), 1, metric.WithAttributes(attribute.String("verdict", verdict)))
}

// RecordWeightLoad records how long an engine accepted no calls because it loaded weights.
func (rc *Recorder) RecordWeightLoad(elapsed time.Duration) {
	rc.metrics.weightLoad.Record(context.Background(), elapsed.Seconds())
}
