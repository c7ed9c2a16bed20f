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
	// quotaLabels are the workspaces that the metric of limits names; mu guards it.
	quotaLabels map[string]bool
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
	unframedEnds metric.Int64Counter
	controlBytes metric.Int64Counter
	loadOrders   metric.Int64Counter
	weightLoad   metric.Float64Histogram
	quota        metric.Int64Counter
	// meter creates the gauge of ObserveMemory.
	memoryRefusals metric.Int64Counter
	meter          metric.Meter
	speedReports   metric.Int64Counter
	beyondShare    metric.Int64Counter
	prefillRate    metric.Float64Gauge
	decodeStep     metric.Float64Gauge
	brokenAnswers  metric.Int64Counter
	zoneExits      metric.Int64Counter
	zoneBytes      metric.Int64Counter
	zoneShare      metric.Float64Gauge
	signals        metric.Int64Counter
	streamOrigins  metric.Int64Counter
	releasesOpened metric.Int64Counter
	runVerdicts    metric.Int64Counter
	runEvents      metric.Int64Counter
	runQuestions   metric.Int64Counter
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
		process:     process,
		log:         lg,
		metrics:     ms,
		handler:     promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		ring:        make([]Event, 0, 64),
		quotaLabels: make(map[string]bool),
	}
	return rc, nil
}

func newMetrics(mt metric.Meter) (*Metrics, error) {
	var errs [28]error
	ms := &Metrics{meter: mt}
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
	ms.quota, errs[9] = mt.Int64Counter("workspace_limit",
		metric.WithDescription("Amounts that requests count towards the limits of workspaces, by workspace and whether they were admitted."))
	ms.memoryRefusals, errs[10] = mt.Int64Counter("memory_refusals",
		metric.WithDescription("Connections, bodies and responses refused because memory is short, by reason."))
	ms.speedReports, errs[11] = mt.Int64Counter("speed_reports",
		metric.WithDescription("Messages of tenders, by what became of the speeds in them: used, unknown or implausible."))
	ms.prefillRate, errs[12] = mt.Float64Gauge("prefill_rate",
		metric.WithDescription("Estimated prompt tokens that the tender's engine prefills per second; zero if unknown."))
	ms.decodeStep, errs[13] = mt.Float64Gauge("decode_step", metric.WithUnit("s"),
		metric.WithDescription("Estimated time of a decode step of the tender's engine; zero if unknown."))
	ms.beyondShare, errs[14] = mt.Int64Counter("beyond_share",
		metric.WithDescription("Requests to full plain services that were not within the share and rank that the capacity suffices for, by result."))
	ms.zoneExits, errs[15] = mt.Int64Counter("zone_exits",
		metric.WithDescription("Attempts at servers of other availability zones, by service and reason."))
	ms.zoneBytes, errs[16] = mt.Int64Counter("zone_exit", metric.WithUnit("By"),
		metric.WithDescription("Bytes of request bodies sent to other availability zones, by service."))
	ms.zoneShare, errs[17] = mt.Float64Gauge("zone_share",
		metric.WithDescription("Share of a service's requests that is to leave the availability zone."))
	ms.streamPause, errs[18] = mt.Float64Histogram("stream_pause", metric.WithUnit("s"),
		metric.WithDescription("Longest pause between two events of a stream, one value for each stream."),
		metric.WithExplicitBucketBoundaries(pauseBoundaries...))
	ms.handOvers, errs[19] = mt.Int64Counter("hand_overs", metric.WithDescription("Hand-overs of running streams to other engines, by result."))
	ms.unframedEnds, errs[20] = mt.Int64Counter("unframed_ends",
		metric.WithDescription("Answers that ended with their connection, by what their server showed afterwards: running, ended or unknown."))
	ms.brokenAnswers, errs[21] = mt.Int64Counter("broken_answers",
		metric.WithDescription("Answers of servers that were broken off or are none, by how they ended and whether reading or writing met the error."))
	ms.signals, errs[22] = mt.Int64Counter("signals", metric.WithDescription("Signals that the process received, by signal."))
	ms.streamOrigins, errs[23] = mt.Int64Counter("stream_origins",
		metric.WithDescription("Resumed streams, by how the gate learned where they began, or that it did not."))
	ms.releasesOpened, errs[27] = mt.Int64Counter("releases_opened",
		metric.WithDescription("Releases new to their services at which streams may begin, by what showed that no gate can take them for others."))
	ms.runVerdicts, errs[24] = mt.Int64Counter("run_verdicts",
		metric.WithDescription("Resumable streams that began or were continued at a server, by what was known of the server's run."))
	ms.runEvents, errs[25] = mt.Int64Counter("run_events", metric.WithDescription("Events that may have ended the run of a server, by kind."))
	ms.runQuestions, errs[26] = mt.Int64Counter("run_questions", metric.WithDescription("Questions to servers which run they are, by what they showed."))
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

// maxQuotaLabels bounds the number of workspaces that the metric of limits names; the others are counted as one.
const maxQuotaLabels = 64

// CountQuota adds what a request counts towards the limit of its workspace.
func (rc *Recorder) CountQuota(workspace string, amount float64, admitted bool) {
	rc.mu.Lock()
	if !rc.quotaLabels[workspace] {
		if len(rc.quotaLabels) < maxQuotaLabels {
			rc.quotaLabels[workspace] = true
		} else {
			workspace = "other workspaces"
		}
	}
	rc.mu.Unlock()
	rc.metrics.quota.Add(context.Background(), int64(amount), metric.WithAttributes(attribute.String("workspace", workspace), attribute.Bool("admitted", admitted)))
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

// CountUnframedEnd counts an answer that ended with its connection, by what its server showed afterwards.
func (rc *Recorder) CountUnframedEnd(life string) {
	rc.metrics.unframedEnds.Add(context.Background(), 1, metric.WithAttributes(attribute.String("server", life)))
}

// CountBrokenAnswer counts an answer of a server that was broken off or is none by how it ended; writeFailed is set if writing the request met the error.
func (rc *Recorder) CountBrokenAnswer(ending string, writeFailed bool) {
	noticedBy := "read"
	if writeFailed {
		noticedBy = "write"
	}
	rc.metrics.brokenAnswers.Add(context.Background(), 1, metric.WithAttributes(attribute.String("ended_by", ending), attribute.String("noticed_by", noticedBy)))
}

// CountControlBytes adds the size in bytes of a message that carries no request.
func (rc *Recorder) CountControlBytes(size int) {
	rc.metrics.controlBytes.Add(context.Background(), int64(size))
}

// CountLoadOrder counts a load order by the engine's verdict.
func (rc *Recorder) CountLoadOrder(verdict string) {
	rc.metrics.loadOrders.Add(context.Background(), 1, metric.WithAttributes(attribute.String("verdict", verdict)))
}

// CountZoneExit counts an attempt of a service's request at a server of another availability zone, by reason, and the bytes of its body.
func (rc *Recorder) CountZoneExit(service, reason string, bodyBytes int) {
	name := attribute.String("service", service)
	rc.metrics.zoneExits.Add(context.Background(), 1, metric.WithAttributes(name, attribute.String("reason", reason)))
	rc.metrics.zoneBytes.Add(context.Background(), int64(bodyBytes), metric.WithAttributes(name))
}

// RecordZoneShare records the share of a service's requests that is to leave the availability zone.
func (rc *Recorder) RecordZoneShare(service string, fraction float64) {
	rc.metrics.zoneShare.Record(context.Background(), fraction, metric.WithAttributes(attribute.String("service", service)))
}

// RecordWeightLoad records how long an engine accepted no calls because it loaded weights.
func (rc *Recorder) RecordWeightLoad(elapsed time.Duration) {
	rc.metrics.weightLoad.Record(context.Background(), elapsed.Seconds())
}

// CountMemoryRefusals adds a number of refusals for lack of memory, by what was refused and why.
func (rc *Recorder) CountMemoryRefusals(kind, reason string, count int) {
	if count > 0 {
		rc.metrics.memoryRefusals.Add(context.Background(), int64(count),
			metric.WithAttributes(attribute.String("kind", kind), attribute.String("reason", reason)))
	}
}

// ObserveMemory makes the bytes that held returns, by what they hold, a metric. It is called once.
func (rc *Recorder) ObserveMemory(held func() map[string]int64) error {
	_, err := rc.metrics.meter.Int64ObservableGauge("memory_held", metric.WithUnit("By"),
		metric.WithDescription("Memory that callers make the process hold."),
		metric.WithInt64Callback(func(_ context.Context, ob metric.Int64Observer) error {
			for kind, bytes := range held() {
				ob.Observe(bytes, metric.WithAttributes(attribute.String("kind", kind)))
			}
			return nil
		}))
	if err != nil {
		return fmt.Errorf("create gauge of memory: %w", err)
	}
	return nil
}

// ObserveDroppedLines makes the number of dropped log lines that count returns a metric. It is called once.
func (rc *Recorder) ObserveDroppedLines(count func() int64) error {
	_, err := rc.metrics.meter.Int64ObservableCounter("log_lines_dropped",
		metric.WithDescription("Log lines dropped because the queue was full or the log's reader had gone."),
		metric.WithInt64Callback(func(_ context.Context, ob metric.Int64Observer) error {
			ob.Observe(count())
			return nil
		}))
	if err != nil {
		return fmt.Errorf("create counter of dropped log lines: %w", err)
	}
	return nil
}

// CountSignal counts a signal that the process received.
func (rc *Recorder) CountSignal(name string) {
	rc.metrics.signals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("signal", name)))
}

// CountStreamOrigin counts a resumed stream by how the gate learned where it began, or that it did not.
func (rc *Recorder) CountStreamOrigin(source string) {
	rc.metrics.streamOrigins.Add(context.Background(), 1, metric.WithAttributes(attribute.String("source", source)))
}

// CountReleasesOpened counts releases new to their services at which streams may begin, by what showed that no gate can take them for others.
func (rc *Recorder) CountReleasesOpened(by string, count int) {
	rc.metrics.releasesOpened.Add(context.Background(), int64(count), metric.WithAttributes(attribute.String("by", by)))
}

// CountRunVerdict counts a resumable stream that began or was continued at a server, by what was known of the server's run.
func (rc *Recorder) CountRunVerdict(verdict string) {
	rc.metrics.runVerdicts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("verdict", verdict)))
}

// CountRunQuestion counts a question to a server which run it is, by what it showed.
func (rc *Recorder) CountRunQuestion(life string) {
	rc.metrics.runQuestions.Add(context.Background(), 1, metric.WithAttributes(attribute.String("life", life)))
}

// CountRunEvent counts an event that may have ended the run of a server.
func (rc *Recorder) CountRunEvent(event string) {
	rc.metrics.runEvents.Add(context.Background(), 1, metric.WithAttributes(attribute.String("event", event)))
}

// CountSpeedReport counts a message of a tender; used is not set if its speeds are implausible, known if there are any.
func (rc *Recorder) CountSpeedReport(used, known bool) {
	result := "used"
	switch {
	case !used:
		result = "implausible"
	case !known:
		result = "unknown"
	}
	rc.metrics.speedReports.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
}

// RecordSpeed records the estimated speeds of the tender's engine: prompt tokens prefilled per second, and the time of a decode step.
func (rc *Recorder) RecordSpeed(prefillRate float64, step time.Duration) {
	rc.metrics.prefillRate.Record(context.Background(), prefillRate)
	rc.metrics.decodeStep.Record(context.Background(), step.Seconds())
}

// CountBeyondShare counts a request to a full plain service beyond what the capacity suffices for, which was refused or sent once.
func (rc *Recorder) CountBeyondShare(refused bool) {
	result := "sent"
	if refused {
		result = "refused"
	}
	rc.metrics.beyondShare.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
}
