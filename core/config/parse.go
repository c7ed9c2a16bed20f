package config

import (
	"fmt"
	"path"
	"regexp"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Problem is one fault of a declarations file.
type Problem struct {
	file string
	line int
	text string
}

// Error returns the fault with its file and line.
func (pb Problem) Error() string { return fmt.Sprintf("%s:%d: %s", pb.file, pb.line, pb.text) }

// The shapes of the file. Each keeps its YAML node so that a check can name the line.
type (
	fileShape struct {
		Workspaces []node[workspaceShape] `yaml:"workspaces"`
		Services   []node[serviceShape]   `yaml:"services"`
		Presets    []node[presetShape]    `yaml:"presets"`
	}
	workspaceShape struct {
		Name     string   `yaml:"name"`
		KeyHash  string   `yaml:"key-sha256"`
		Share    int      `yaml:"share"`
		Services []string `yaml:"services"`
	}
	serviceShape struct {
		Name    string   `yaml:"name"`
		Kind    string   `yaml:"kind"`
		Model   string   `yaml:"model"`
		Weights string   `yaml:"weights"`
		Adapter string   `yaml:"adapter"`
		Once    []string `yaml:"at-most-once"`
		Repeat  []string `yaml:"repeatable"`
		Fencing bool     `yaml:"fencing"`
	}
	presetShape struct {
		Name           string        `yaml:"name"`
		RecomputePrice float64       `yaml:"recompute-price"`
		CheckTokens    int           `yaml:"check-tokens"`
		CheckReserve   float64       `yaml:"check-reserve"`
		QueueLimit     int           `yaml:"queue-limit"`
		Timeout        time.Duration `yaml:"timeout"`
		LoadsAtOnce    int           `yaml:"loads-at-once"`
	}
)

// node is a decoded value with the line that it stands on.
type node[T any] struct {
	value T
	line  int
}

// UnmarshalYAML decodes the value and notes its line.
func (nd *node[T]) UnmarshalYAML(yn *yaml.Node) error {
	nd.line = yn.Line
	if err := checkFields[T](yn); err != nil {
		return err
	}
	if err := yn.Decode(&nd.value); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return nil
}

// checkFields refuses misspelt settings, which a custom decoder would pass over.
func checkFields[T any](yn *yaml.Node) error {
	var probe T
	known := fieldNames(probe)
	for i := 0; i+1 < len(yn.Content); i += 2 {
		key := yn.Content[i]
		if !known[key.Value] {
			return fmt.Errorf("line %d: unknown setting %q", key.Line, key.Value)
		}
	}
	return nil
}

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	linePattern = regexp.MustCompile(`line (\d+): (.*)`)
)

// Default limits of a preset that does not set its own.
const (
	defaultQueueLimit  = 64
	defaultTimeout     = 60 * time.Second
	maxTimeout         = time.Hour
	defaultCheckTokens = 16
	defaultLoads       = 2
	maxLoads           = 64
)

// checker collects the problems of one file.
type checker struct {
	file     string
	problems []Problem
	names    map[string]int
}

// Parse returns the declaration in the bytes of a file, or all problems that it has; file is used in their text.
func Parse(file string, text []byte) (*Declaration, []Problem) {
	ck := &checker{file: file, names: make(map[string]int)}
	var shape fileShape
	dec := yaml.NewDecoder(strings.NewReader(string(text)))
	dec.KnownFields(true)
	if err := dec.Decode(&shape); err != nil {
		ck.syntax(err)
		return nil, ck.problems
	}
	dc := ck.declaration(shape)
	if len(ck.problems) > 0 {
		return nil, ck.problems
	}
	return dc, nil
}

// syntax turns the library's error into problems with lines.
func (ck *checker) syntax(err error) {
	for _, text := range strings.Split(err.Error(), "\n") {
		match := linePattern.FindStringSubmatch(text)
		if match == nil {
			continue
		}
		line := 0
		_, _ = fmt.Sscan(match[1], &line)
		ck.add(line, "%s", match[2])
	}
	if len(ck.problems) == 0 {
		ck.add(1, "%v", err)
	}
}

func (ck *checker) add(line int, format string, args ...any) {
	ck.problems = append(ck.problems, Problem{file: ck.file, line: line, text: fmt.Sprintf(format, args...)})
}

func (ck *checker) declaration(shape fileShape) *Declaration {
	dc := &Declaration{}
	for _, nd := range shape.Services {
		dc.services = append(dc.services, ck.service(nd.value, nd.line))
	}
	for _, nd := range shape.Workspaces {
		dc.workspaces = append(dc.workspaces, ck.workspace(nd.value, nd.line))
	}
	for _, nd := range shape.Presets {
		dc.presets = append(dc.presets, ck.preset(nd.value, nd.line))
	}
	if len(dc.presets) == 0 {
		ck.add(1, "presets: at least one preset is needed")
	}
	return dc
}

// name checks the form of a name and that it is not used twice within its kind.
func (ck *checker) name(kind, name string, line int) {
	if !namePattern.MatchString(name) {
		ck.add(line, "%s: name %q: allowed are 1 to 64 of a-z, 0-9, '-' and '.', with a letter or digit at both ends", kind, name)
		return
	}
	if first, ok := ck.names[kind+"/"+name]; ok {
		ck.add(line, "%s: name %q stands on line %d already", kind, name, first)
		return
	}
	ck.names[kind+"/"+name] = line
}

func (ck *checker) service(sh serviceShape, line int) Service {
	ck.name("service", sh.Name, line)
	kind := Kind(sh.Kind)
	if kind != KindModel && kind != KindPlain {
		ck.add(line, "service %q: kind %q: allowed are %q and %q", sh.Name, sh.Kind, KindModel, KindPlain)
	}
	if kind == KindModel && (sh.Model == "" || sh.Weights == "") {
		ck.add(line, "service %q: a model service needs model and weights", sh.Name)
	}
	if kind == KindModel && len(sh.Once)+len(sh.Repeat) > 0 {
		ck.add(line, "service %q: at-most-once and repeatable: allowed for plain services only", sh.Name)
	}
	ck.calls(sh.Name, "at-most-once", sh.Once, line)
	ck.calls(sh.Name, "repeatable", sh.Repeat, line)
	return Service{name: sh.Name, kind: kind, model: sh.Model, weights: sh.Weights, adapter: sh.Adapter, once: sh.Once, repeatable: sh.Repeat, fencing: sh.Fencing}
}

// calls checks the form of a list of calls.
func (ck *checker) calls(service, setting string, calls []string, line int) {
	for _, call := range calls {
		method, callPath, ok := strings.Cut(call, " ")
		if !ok || method != strings.ToUpper(method) || !strings.HasPrefix(callPath, "/") || callPath != path.Clean(callPath) {
			ck.add(line, "service %q: %s %q: allowed is the form \"POST /path\"", service, setting, call)
		}
	}
}

func (ck *checker) workspace(sh workspaceShape, line int) Workspace {
	ck.name("workspace", sh.Name, line)
	if !hashPattern.MatchString(sh.KeyHash) {
		ck.add(line, "workspace %q: key-sha256 %q: allowed are 64 hexadecimal digits", sh.Name, sh.KeyHash)
	} else if first, ok := ck.names["key/"+sh.KeyHash]; ok {
		ck.add(line, "workspace %q: key-sha256 is that of the workspace on line %d", sh.Name, first)
	}
	ck.names["key/"+sh.KeyHash] = line
	if sh.Share < 0 {
		ck.add(line, "workspace %q: share %d: allowed are whole numbers from 1", sh.Name, sh.Share)
	}
	for _, service := range sh.Services {
		if _, ok := ck.names["service/"+service]; !ok {
			ck.add(line, "workspace %q: service %q is not declared", sh.Name, service)
		}
	}
	return Workspace{name: sh.Name, keyHash: sh.KeyHash, share: max(sh.Share, 1), services: sh.Services}
}

func (ck *checker) preset(sh presetShape, line int) Preset {
	ck.name("preset", sh.Name, line)
	if sh.RecomputePrice < 0 {
		ck.add(line, "preset %q: recompute-price %g: allowed are numbers from 0", sh.Name, sh.RecomputePrice)
	}
	if sh.CheckReserve < 0 || sh.CheckReserve >= 1 {
		ck.add(line, "preset %q: check-reserve %g: allowed are numbers from 0 to less than 1", sh.Name, sh.CheckReserve)
	}
	if sh.QueueLimit < 0 || sh.CheckTokens < 0 {
		ck.add(line, "preset %q: queue-limit and check-tokens: allowed are whole numbers from 1", sh.Name)
	}
	if sh.LoadsAtOnce < 0 || sh.LoadsAtOnce > maxLoads {
		ck.add(line, "preset %q: loads-at-once %d: allowed are whole numbers from 1 to %d", sh.Name, sh.LoadsAtOnce, maxLoads)
	}
	if sh.Timeout < 0 || sh.Timeout > maxTimeout {
		ck.add(line, "preset %q: timeout %s: allowed are up to %s", sh.Name, sh.Timeout, maxTimeout)
	}
	pr := Preset{
		name:           sh.Name,
		recomputePrice: sh.RecomputePrice,
		checkTokens:    sh.CheckTokens,
		checkReserve:   sh.CheckReserve,
		queueLimit:     sh.QueueLimit,
		timeout:        sh.Timeout,
		loadsAtOnce:    sh.LoadsAtOnce,
	}
	if pr.checkTokens == 0 {
		pr.checkTokens = defaultCheckTokens
	}
	if pr.queueLimit == 0 {
		pr.queueLimit = defaultQueueLimit
	}
	if pr.loadsAtOnce == 0 {
		pr.loadsAtOnce = defaultLoads
	}
	if pr.timeout == 0 {
		pr.timeout = defaultTimeout
	}
	return pr
}
