package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"shallotcleat/io/wire"
	"shallotcleat/platform"
)

// explainer is a gate that explains all requests alike, except those for an unknown host.
type explainer struct {
	wire.DRPCNodeUnimplementedServer
}

func (*explainer) Explain(_ context.Context, er *wire.ExplainRequest) (*wire.RequestExplanation, error) {
	if er.GetHost() != "a.example" {
		return &wire.RequestExplanation{GateZone: "a", RefusalCode: "not_found", RefusalReason: "no route matches"}, nil
	}
	return &wire.RequestExplanation{GateZone: "a", Route: decoded(er), ServerId: "near",
		Share: 0.25, ShareReason: "wait", Servers: []*wire.ServerAssessment{
			{ServerId: "near", Zone: "a", CostUs: 52_500},
			{ServerId: "far", Zone: "b", CostUs: 64_500, ZoneCostUs: 12_000, Obstacle: "costs_more"},
		}}, nil
}

// decoded returns what a gate decodes from the header of a request.
func decoded(er *wire.ExplainRequest) string {
	hd := make(http.Header)
	for _, hf := range er.GetHeader() {
		hd.Add(hf.GetName(), hf.GetValue())
	}
	info := platform.Dialect{}.DecodeRequest(hd)
	return fmt.Sprint(info.APIKey, " ", info.Model, " ", info.PromptTokens, " ", info.ExpectedTokens, " ", len(info.PromptParts))
}

func startExplainer(t *testing.T) (address string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterNode(mux, &explainer{}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = drpcserver.New(mux).Serve(ctx, lis) }()
	t.Cleanup(func() { cancel(); <-done })
	return lis.Addr().String()
}

// Operators and scripts must get the server, the costs and the reasons, as text and as JSON.
func TestExplainPrintsDecision(t *testing.T) {
	args := []string{"explain", "--gate", startExplainer(t), "--host", "a.example", "--path", "/x", "--model", "m1",
		"--key", "north-key", "--prompt-tokens", "1460", "--output-tokens", "80", "--part", "5c1e07a2:800", "--part", "own:660"}
	code, out, errOut := runProgram(t, args...)
	if code != exitOK {
		t.Fatalf("exit code %d: %s", code, errOut)
	}
	for _, want := range []string{"sent to near", `route "north-key m1 1460 80 2"`, "0.25 (wait)", "52.5", "costs_more"} {
		if !strings.Contains(out, want) {
			t.Errorf("no %q in:\n%s", want, out)
		}
	}
	code, out, errOut = runProgram(t, append(args, "--json")...)
	var ej explanationJSON
	if err := json.Unmarshal([]byte(out), &ej); code != exitOK || err != nil {
		t.Fatalf("exit code %d, %v: %s", code, err, errOut)
	}
	if ej.Server != "near" || len(ej.Servers) != 2 || ej.Servers[1].ZoneCost != 12 || ej.Servers[1].NotChosen != "costs_more" {
		t.Errorf("JSON %+v", ej)
	}
}

// A refused request, an unreachable gate and wrong settings must be told apart by a clear error and the exit code.
func TestExplainErrors(t *testing.T) {
	address := startExplainer(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unreachable := lis.Addr().String()
	_ = lis.Close()
	for _, tt := range []struct {
		name string
		args []string
		code int
		want string
	}{
		{"unknown host", []string{"--gate", address, "--host", "b.example"}, exitFailure, "not_found: no route matches"},
		{"unreachable gate", []string{"--gate", unreachable, "--host", "a.example"}, exitFailure, "ask gate " + unreachable},
		{"no settings", nil, exitUsage, `--host: invalid value ""`},
		{"wrong part", []string{"--gate", address, "--host", "a.example", "--part", "5c1e07a2"}, exitUsage, `--part: invalid value "5c1e07a2"`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			code, _, errOut := runProgram(t, append([]string{"explain"}, tt.args...)...)
			if code != tt.code || !strings.Contains(errOut, tt.want) {
				t.Errorf("exit code %d, want %d; error output %q, want %q", code, tt.code, errOut, tt.want)
			}
		})
	}
}
