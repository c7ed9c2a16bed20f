package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"shallotcleat/core/pick"
	"shallotcleat/io/gate"
	"shallotcleat/io/link"
	"shallotcleat/io/wire"
	"shallotcleat/platform"
)

const explainHelp = `Asks a running gate where it would send a request now and why, without sending
the request. The gate lists all servers of the service by cost; for a request of
a caller it considers a random sample of them. The exit code is 1 if the gate
would refuse the request.

Examples:
  shallotcleat explain --gate 10.0.0.7:7801 --host a.example --path /plan/x --key north-key \
    --model m1 --prompt-tokens 1460 --output-tokens 80 --part 5c1e07a2:800 --part 91bd3f06:660
  shallotcleat explain --gate 10.0.0.7:7801 --host a.example --path /stock --method GET --key north-key --json`

// explainTimeout bounds the call to the gate.
const explainTimeout = 3 * time.Second

// maxExplainedTokens bounds the numbers of tokens in the settings.
const maxExplainedTokens = 1 << 30

// errRefused is the result of a request that the gate would refuse.
var errRefused = errors.New("the gate would refuse the request")

// explainCommand prints where a request would go.
type explainCommand struct {
	Gate         string   `long:"gate" env:"SHALLOTCLEAT_GATE" description:"IP address and port at which other gates reach the gate (its --peer)"`
	Method       string   `long:"method" description:"method of the request" default:"POST"`
	Host         string   `long:"host" description:"host of the request"`
	Path         string   `long:"path" description:"path of the request" default:"/"`
	ID           string   `long:"id" description:"id of the request; it decides whether the request is part of the share that leaves the zone" default:"explain"`
	Key          string   `long:"key" env:"SHALLOTCLEAT_KEY" description:"API key of the caller"`
	Model        string   `long:"model" description:"model of the request"`
	PromptTokens string   `long:"prompt-tokens" description:"length of the prompt in tokens" default:"0"`
	OutputTokens string   `long:"output-tokens" description:"expected length of the response in tokens" default:"0"`
	Part         []string `long:"part" description:"part of the prompt as ID:TOKENS, in order; may be repeated"`
	BodyBytes    string   `long:"body-bytes" description:"size of the request's body in bytes" default:"0"`
	JSON         bool     `long:"json" description:"print JSON"`
}

func (cm *explainCommand) run(ctx context.Context, out io.Writer) error {
	var vd validator
	vd.address("gate", cm.Gate)
	if cm.Host == "" {
		vd.addProblem("host", cm.Host, "the host of the request, such as a.example")
	}
	if !strings.HasPrefix(cm.Path, "/") {
		vd.addProblem("path", cm.Path, "a path that begins with /")
	}
	info := gate.RequestInfo{RequestID: cm.ID, APIKey: cm.Key, Model: cm.Model,
		PromptTokens:   vd.integer("prompt-tokens", cm.PromptTokens, 0, maxExplainedTokens),
		ExpectedTokens: vd.integer("output-tokens", cm.OutputTokens, 0, maxExplainedTokens)}
	for _, text := range cm.Part {
		id, size, _ := strings.Cut(text, ":")
		tokens, err := strconv.Atoi(size)
		if id == "" || strings.Contains(id, ",") || err != nil || tokens < 0 || tokens > maxExplainedTokens {
			vd.addProblem("part", text, "a part as ID:TOKENS, such as 5c1e07a2:800")
		}
		info.PromptParts = append(info.PromptParts, pick.NewPart(id, tokens))
	}
	request := &wire.ExplainRequest{Method: cm.Method, Host: cm.Host, Path: cm.Path,
		BodyBytes: uint32(vd.integer("body-bytes", cm.BodyBytes, 0, 1<<30))}
	for name, values := range platform.EncodeCallerHeader(info) {
		for _, value := range values {
			request.Header = append(request.Header, &wire.HeaderField{Name: name, Value: value})
		}
	}
	if err := vd.err(); err != nil {
		return err
	}
	links := link.NewPool()
	defer func() { _ = links.Close() }()
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	reply, err := links.Node(cm.Gate).Explain(ctx, request)
	if err != nil {
		return fmt.Errorf("ask gate %s: %w", cm.Gate, err)
	}
	if cm.JSON {
		err = printExplanationJSON(out, reply)
	} else {
		err = printExplanation(out, reply)
	}
	if err != nil {
		return fmt.Errorf("print explanation: %w", err)
	}
	if reply.GetRefusalCode() != "" {
		return fmt.Errorf("%w: %s: %s", errRefused, reply.GetRefusalCode(), reply.GetRefusalReason())
	}
	return nil
}

func printExplanation(out io.Writer, re *wire.RequestExplanation) error {
	tw := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(tw, "configuration %d, route %q, workspace %q, service %q, zone %s\n",
		re.GetConfigVersion(), re.GetRoute(), re.GetWorkspace(), re.GetService(), re.GetGateZone())
	if re.GetRefusalCode() != "" {
		_, _ = fmt.Fprintf(tw, "refused: %s: %s; retry after %d ms\n", re.GetRefusalCode(), re.GetRefusalReason(), re.GetRetryAfterMs())
	} else {
		_, _ = fmt.Fprintf(tw, "sent to %s", re.GetServerId())
		if re.GetZoneExit() != "" {
			_, _ = fmt.Fprintf(tw, ", leaving the zone: %s", re.GetZoneExit())
		}
		_, _ = fmt.Fprintln(tw)
	}
	if re.GetShareReason() != "" {
		_, _ = fmt.Fprintf(tw, "share that leaves the zone: %.2f (%s), the request included: %t\n", re.GetShare(), re.GetShareReason(), re.GetInShare())
	}
	if len(re.GetServers()) > 0 {
		_, _ = fmt.Fprintln(tw, "SERVER\tADDRESS\tZONE\tCOST MS\tOF IT ZONE\tFIRST EVENT MS\tCACHED PARTS\tHOME\tBACKOFF\tNOT CHOSEN BECAUSE")
	}
	for _, sa := range re.GetServers() {
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%.1f\t%.1f\t%.1f\t%d\t%t\t%t\t%s\n", sa.GetServerId(), sa.GetAddress(), sa.GetZone(), millis(sa.GetCostUs()),
			millis(sa.GetZoneCostUs()), millis(sa.GetFirstEventUs()), sa.GetCachedParts(), sa.GetHome(), sa.GetBackoff(), sa.GetObstacle())
	}
	return tw.Flush()
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

// explanationJSON is the JSON form of an explanation; times are in milliseconds.
type explanationJSON struct {
	Zone          string           `json:"zone"`
	ConfigVersion uint64           `json:"config_version"`
	Route         string           `json:"route"`
	Workspace     string           `json:"workspace"`
	Service       string           `json:"service"`
	RefusalCode   string           `json:"refusal_code,omitempty"`
	RefusalReason string           `json:"refusal_reason,omitempty"`
	RetryAfter    int64            `json:"retry_after_ms,omitempty"`
	Server        string           `json:"server,omitempty"`
	ZoneExit      string           `json:"zone_exit,omitempty"`
	Share         float64          `json:"zone_share"`
	ShareReason   string           `json:"zone_share_reason,omitempty"`
	InShare       bool             `json:"in_zone_share"`
	Servers       []assessmentJSON `json:"servers"`
}

type assessmentJSON struct {
	Server      string  `json:"server"`
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	Cost        float64 `json:"cost_ms"`
	ZoneCost    float64 `json:"zone_cost_ms"`
	FirstEvent  float64 `json:"first_event_ms"`
	CachedParts uint32  `json:"cached_parts"`
	Home        bool    `json:"home"`
	Backoff     bool    `json:"backoff"`
	NotChosen   string  `json:"not_chosen_because,omitempty"`
}

func printExplanationJSON(out io.Writer, re *wire.RequestExplanation) error {
	ej := explanationJSON{Zone: re.GetGateZone(), ConfigVersion: re.GetConfigVersion(), Route: re.GetRoute(), Workspace: re.GetWorkspace(),
		Service: re.GetService(), RefusalCode: re.GetRefusalCode(), RefusalReason: re.GetRefusalReason(), RetryAfter: re.GetRetryAfterMs(),
		Server: re.GetServerId(), ZoneExit: re.GetZoneExit(), Share: re.GetShare(), ShareReason: re.GetShareReason(), InShare: re.GetInShare(),
		Servers: []assessmentJSON{}}
	for _, sa := range re.GetServers() {
		ej.Servers = append(ej.Servers, assessmentJSON{Server: sa.GetServerId(), Address: sa.GetAddress(), Zone: sa.GetZone(),
			Cost: millis(sa.GetCostUs()), ZoneCost: millis(sa.GetZoneCostUs()), FirstEvent: millis(sa.GetFirstEventUs()),
			CachedParts: sa.GetCachedParts(), Home: sa.GetHome(), Backoff: sa.GetBackoff(), NotChosen: sa.GetObstacle()})
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(ej)
}
