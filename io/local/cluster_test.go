package local

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"shallotcleat/core/config"
	"shallotcleat/io/fake"
	"shallotcleat/io/trace"
)

// API keys of the workspaces in declarationText.
const (
	mchangaKey = "mchanga-key"
	hradekKey  = "hradek-key"
)

// readyTimeout bounds each wait for a state of the cluster; it allows for a busy machine.
const readyTimeout = 20 * time.Second

// cluster is a complete deployment in this process: fakes, agents and entries.
type cluster struct {
	t             testing.TB
	platform      *Platform
	engines       []*fake.Engine
	plainServices []*fake.PlainService
	modelAgents   []*Node
	serviceAgents []*Node
	entries       []*Node
	// plainAddresses are the addresses of the plain services, without agent or proxy.
	plainAddresses []string
	// modelProxies are in front of modelAgents, in the same order.
	modelProxies []*proxy
	// serviceProxies are in front of serviceAgents, in the same order.
	serviceProxies []*proxy
}

// advertiseProxy returns a NodeOptions.AdvertiseAddress that starts a proxy for the node and appends it to proxies.
func (cl *cluster) advertiseProxy(proxies *[]*proxy) func(string) (string, error) {
	return func(address string) (string, error) {
		px, err := newProxy(cl.t, address)
		if err != nil {
			return "", err
		}
		*proxies = append(*proxies, px)
		return px.address(), nil
	}
}

// clusterOptions configures a cluster. The first three fields are counts.
type clusterOptions struct {
	engines       int
	plainServices int
	entries       int
	// slots is the number of capacity slots of each agent.
	slots int
	speed fake.EngineSpeed
	// orderDelay is the time that a plain service takes to run an order.
	orderDelay time.Duration
	// preset holds the fields of both presets in YAML flow style.
	preset string
}

func (co clusterOptions) withDefaults() clusterOptions {
	if co.slots == 0 {
		co.slots = 8
	}
	if co.speed.BlockTokens == 0 {
		co.speed = fake.EngineSpeed{PrefillRate: 1e6, TokenInterval: 2 * time.Millisecond, BlockTokens: 50, CacheBlocks: 500}
	}
	if co.preset == "" {
		co.preset = "check-tokens: 4, check-reserve: 0.25, queue-limit: 64, timeout: 30s"
	}
	return co
}

// declarationText returns a declarations file with the weight version and the fields of the presets.
func declarationText(weights, preset string) []byte {
	return fmt.Appendf(nil, `
services:
  - {name: dispatch, kind: model, model: dispatch-7b, weights: %s}
  - {name: stock, kind: plain, at-most-once: ["POST /orders"]}
workspaces:
  - {name: mchanga, key-sha256: %s}
  - {name: hradek, key-sha256: %s}
presets:
  - {name: ordinary, %s}
  - {name: peak, %s}
`, weights, config.Hash([]byte(mchangaKey)), config.Hash([]byte(hradekKey)), preset, preset)
}

func newCluster(t testing.TB, opts clusterOptions) *cluster {
	t.Helper()
	opts = opts.withDefaults()
	pf, err := NewPlatform()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pf.Close)
	cl := &cluster{t: t, platform: pf}
	if err := pf.Apply(t.Context(), declarationText("v1", opts.preset), "ordinary", "first"); err != nil {
		t.Fatal(err)
	}
	for range opts.engines {
		cl.addEngine(opts)
	}
	for range opts.plainServices {
		cl.addPlainService(opts)
	}
	for range opts.entries {
		cl.addEntry()
	}
	return cl
}

func (cl *cluster) addEngine(opts clusterOptions) {
	engine := fake.NewEngine(opts.speed, "v1", true)
	cl.engines = append(cl.engines, engine)
	node, err := cl.platform.StartAgent(NodeOptions{
		Name:             fmt.Sprintf("agent/dispatch-%d", len(cl.modelAgents)),
		Zone:             "ruai",
		Service:          "dispatch",
		Slots:            opts.slots,
		Incarnation:      uint64(len(cl.modelAgents) + 1),
		EngineURL:        "http://" + cl.startServer(engine),
		Fencing:          true,
		AdvertiseAddress: cl.advertiseProxy(&cl.modelProxies),
	})
	if err != nil {
		cl.t.Fatal(err)
	}
	cl.t.Cleanup(node.Stop)
	cl.modelAgents = append(cl.modelAgents, node)
}

func (cl *cluster) addPlainService(opts clusterOptions) {
	service := fake.NewPlainService(opts.orderDelay)
	cl.plainServices = append(cl.plainServices, service)
	address := cl.startServer(service)
	cl.plainAddresses = append(cl.plainAddresses, address)
	node, err := cl.platform.StartAgent(NodeOptions{
		Name:             fmt.Sprintf("agent/stock-%d", len(cl.serviceAgents)),
		Zone:             "ruai",
		Service:          "stock",
		Slots:            opts.slots,
		Incarnation:      uint64(len(cl.serviceAgents) + 101),
		PlainServiceURL:  "http://" + address,
		AdvertiseAddress: cl.advertiseProxy(&cl.serviceProxies),
	})
	if err != nil {
		cl.t.Fatal(err)
	}
	cl.t.Cleanup(node.Stop)
	cl.serviceAgents = append(cl.serviceAgents, node)
}

func (cl *cluster) addEntry() *Node {
	node, err := cl.platform.StartEntry(NodeOptions{
		Name:        fmt.Sprintf("entry/%d", len(cl.entries)),
		Zone:        "ruai",
		Incarnation: uint64(len(cl.entries) + 201),
		PieceTokens: 50,
	})
	if err != nil {
		cl.t.Fatal(err)
	}
	cl.t.Cleanup(node.Stop)
	cl.entries = append(cl.entries, node)
	if err := WaitReady(cl.t.Context(), node.Address(), readyTimeout); err != nil {
		cl.t.Fatal(err)
	}
	return node
}

func (cl *cluster) startServer(handler http.Handler) string {
	address, err := cl.platform.StartServer(handler)
	if err != nil {
		cl.t.Fatal(err)
	}
	return address
}

// caller returns a caller for the workspace mchanga at the entry with an index.
func (cl *cluster) caller(entry int) *Caller {
	return NewCaller(cl.entries[entry].Address(), mchangaKey)
}

// taggedPrompt returns a prompt of several pieces that ends with a tag, which the fake engine repeats in its output.
func taggedPrompt(tag string) string { return strings.Repeat("sand ", 200) + "#" + tag + "#" }

// expectedText returns the fake engine's output for a tagged prompt.
func expectedText(tag string, tokens int) string {
	var out strings.Builder
	for i := range tokens {
		fmt.Fprintf(&out, " %s-%d", tag, i)
	}
	return out.String()
}

func streamBody(tag string, tokens int) []byte {
	body, _ := json.Marshal(map[string]any{"model": "dispatch", "prompt": taggedPrompt(tag), "max_tokens": tokens, "stream": true})
	return body
}

// streamResult is what a caller received of a stream.
type streamResult struct {
	text strings.Builder
	// events is the number of events with text; lastID is the id of the last of them.
	events int
	lastID string
	// done is set after [DONE], failed after an error event.
	done   bool
	failed bool
	status int
}

// add records an event.
func (sr *streamResult) add(ev Event) {
	if text := ev.Text(); text != "" {
		sr.events++
		sr.text.WriteString(text)
		sr.lastID = ev.ID
	}
	sr.done = sr.done || ev.Data == "[DONE]"
	sr.failed = sr.failed || ev.Name == "error"
}

// waitFor waits until condition returns true and fails the test after readyTimeout.
func (cl *cluster) waitFor(what string, condition func() bool) {
	cl.t.Helper()
	for deadline := time.Now().Add(readyTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			cl.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// countEvents returns the number of events of a kind that a node recorded.
func countEvents(node *Node, kind trace.Kind) int {
	total := 0
	for _, ev := range node.Recorder().Events("", 100_000) {
		if ev.Kind == kind {
			total++
		}
	}
	return total
}
