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

// Keys of the test's workspaces.
const (
	mchangaKey = "mchanga-key"
	hradekKey  = "hradek-key"
)

// readyLimit is how long a node may take to be ready on a busy machine.
const readyLimit = 20 * time.Second

// site is a whole system in this process.
type site struct {
	t        testing.TB
	platform *Platform
	engines  []*fake.Engine
	plain    []*fake.PlainService
	models   []*Node
	services []*Node
	entries  []*Node
	// directPlain are the addresses of the plain services themselves.
	directPlain []string
	// cutters stand before the agents of the engines.
	cutters []*cutter
	// serviceCutters stand before the agents of the plain services.
	serviceCutters []*cutter
}

// front puts a cutter before a node and keeps it.
func (st *site) front(kept *[]*cutter) func(string) (string, error) {
	return func(address string) (string, error) {
		ct, err := newCutter(st.t, address)
		if err != nil {
			return "", err
		}
		*kept = append(*kept, ct)
		return ct.address(), nil
	}
}

// siteOptions are the sizes of a site.
type siteOptions struct {
	engines  int
	services int
	entries  int
	slots    int
	speed    fake.EngineSpeed
	// orderTime is how long a plain service takes.
	orderTime time.Duration
	preset    string
}

func (so siteOptions) withDefaults() siteOptions {
	if so.slots == 0 {
		so.slots = 8
	}
	if so.speed.BlockTokens == 0 {
		so.speed = fake.EngineSpeed{PrefillRate: 1e6, TokenInterval: 2 * time.Millisecond, BlockTokens: 50, CacheBlocks: 500}
	}
	if so.preset == "" {
		so.preset = "check-tokens: 4, check-reserve: 0.25, queue-limit: 64, timeout: 30s"
	}
	return so
}

// declarationWith returns declarations whose engines serve some weights.
func declarationWith(weights, preset string) []byte {
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

func newSite(t testing.TB, opts siteOptions) *site {
	t.Helper()
	opts = opts.withDefaults()
	pf, err := NewPlatform()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pf.Close)
	st := &site{t: t, platform: pf}
	if err := pf.Apply(t.Context(), declarationWith("v1", opts.preset), "ordinary", "first"); err != nil {
		t.Fatal(err)
	}
	for range opts.engines {
		st.addEngine(opts)
	}
	for range opts.services {
		st.addService(opts)
	}
	for range opts.entries {
		st.addEntry()
	}
	return st
}

func (st *site) addEngine(opts siteOptions) {
	engine := fake.NewEngine(opts.speed, "v1", true)
	st.engines = append(st.engines, engine)
	node, err := st.platform.StartAgent(NodeOptions{
		Name:             fmt.Sprintf("agent/dispatch-%d", len(st.models)),
		Zone:             "ruai",
		Service:          "dispatch",
		Slots:            opts.slots,
		Incarnation:      uint64(len(st.models) + 1),
		EngineURL:        "http://" + st.listen(engine),
		Fencing:          true,
		AdvertiseAddress: st.front(&st.cutters),
	})
	if err != nil {
		st.t.Fatal(err)
	}
	st.t.Cleanup(node.Stop)
	st.models = append(st.models, node)
}

func (st *site) addService(opts siteOptions) {
	service := fake.NewPlainService(opts.orderTime)
	st.plain = append(st.plain, service)
	address := st.listen(service)
	st.directPlain = append(st.directPlain, address)
	node, err := st.platform.StartAgent(NodeOptions{
		Name:             fmt.Sprintf("agent/stock-%d", len(st.services)),
		Zone:             "ruai",
		Service:          "stock",
		Slots:            opts.slots,
		Incarnation:      uint64(len(st.services) + 101),
		PlainServiceURL:  "http://" + address,
		AdvertiseAddress: st.front(&st.serviceCutters),
	})
	if err != nil {
		st.t.Fatal(err)
	}
	st.t.Cleanup(node.Stop)
	st.services = append(st.services, node)
}

func (st *site) addEntry() *Node {
	node, err := st.platform.StartEntry(NodeOptions{
		Name:        fmt.Sprintf("entry/%d", len(st.entries)),
		Zone:        "ruai",
		Incarnation: uint64(len(st.entries) + 201),
		PieceTokens: 50,
	})
	if err != nil {
		st.t.Fatal(err)
	}
	st.t.Cleanup(node.Stop)
	st.entries = append(st.entries, node)
	if err := WaitReady(st.t.Context(), node.Address(), readyLimit); err != nil {
		st.t.Fatal(err)
	}
	return node
}

func (st *site) listen(handler http.Handler) string {
	address, err := st.platform.StartServer(handler)
	if err != nil {
		st.t.Fatal(err)
	}
	return address
}

// caller returns a caller of the workspace mchanga at an entry.
func (st *site) caller(entry int) *Caller { return NewCaller(st.entries[entry].Address(), mchangaKey) }

// promptOf returns a prompt of several pieces that ends with a tag, which the stand-in engine repeats.
func promptOf(tag string) string { return strings.Repeat("sand ", 200) + "#" + tag + "#" }

// textFor returns the stand-in engine's answer to a tagged prompt.
func textFor(tag string, tokens int) string {
	var out strings.Builder
	for i := range tokens {
		fmt.Fprintf(&out, " %s-%d", tag, i)
	}
	return out.String()
}

func streamBody(tag string, tokens int) []byte {
	body, _ := json.Marshal(map[string]any{"model": "dispatch", "prompt": promptOf(tag), "max_tokens": tokens, "stream": true})
	return body
}

// streamed is what a caller saw of a stream.
type streamed struct {
	text   strings.Builder
	events int
	lastID string
	ended  bool
	failed bool
	status int
}

// take notes an event.
func (sm *streamed) take(ev Event) {
	if text := ev.Text(); text != "" {
		sm.events++
		sm.text.WriteString(text)
		sm.lastID = ev.ID
	}
	sm.ended = sm.ended || ev.Data == "[DONE]"
	sm.failed = sm.failed || ev.Name == "error"
}

// waitFor waits until a condition holds; the limit is for a busy machine only.
func (st *site) waitFor(what string, holds func() bool) {
	st.t.Helper()
	for limit := time.Now().Add(readyLimit); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			st.t.Fatalf("%s never came", what)
		}
	}
}

// count returns how many events of a kind a node has noted.
func count(node *Node, kind trace.Kind) int {
	total := 0
	for _, ev := range node.Recorder().Events("", 100_000) {
		if ev.Kind == kind {
			total++
		}
	}
	return total
}
