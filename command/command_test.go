package command

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"magnoliaferry/clock"
	"magnoliaferry/fault"
	"magnoliaferry/memory"
	"magnoliaferry/operator"
	"magnoliaferry/standin"
)

const (
	kervanEtki = "../examples/kervan-etki/fleet.json"
	loneStar   = "../examples/lone-star/fleet.json"
	faulty     = "../config/testdata/eight-faults.json"

	operators       = "testdata/operators.json"
	nextOperators   = "testdata/next-operators.json"
	faultyOperators = "testdata/faulty-operators.json"
)

func run(arguments ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = Run(context.Background(), arguments, Environment{Out: &o, Err: &e, Version: "1.2.3"})
	return code, o.String(), e.String()
}

// Guards against a wrong exit code, on which scripts rely, and against output on the wrong stream.
func TestLocalCommands(t *testing.T) {
	tests := []struct {
		arguments string
		code      int
		out, errs string // must occur; "" says that the stream is empty
	}{
		{"check " + kervanEtki, ExitOK, "no faults; digest ", ""},
		{"check --json " + kervanEtki, ExitOK, `"digest": "`, ""},
		{"check " + faulty, ExitFaults, "", "eight-faults.json:36: MF1119 /teams/1/callers/0: "},
		{"check --json " + faulty, ExitFaults, `"path": "/teams/1/callers/0"`, ""},
		{"check missing.json", ExitUsage, "", "missing.json"},
		{"check", ExitUsage, "", "required argument 'file'"},
		{"check --settings testdata/settings.json", ExitOK, "no faults; instance entry-0 in zone z0", ""},
		{"check --settings testdata/faulty-settings.json", ExitFaults, "", "faulty-settings.json: MF1061 /node: is missing or empty"},
		{"check --settings testdata/faulty-settings.json", ExitFaults, "", "MF1062 /store: "},
		{"check --operators " + operators, ExitOK, "operators.json version 7; faults: 0, warnings: 0\n", ""},
		{"check --operators --json " + operators, ExitOK, `"diagnostics": []`, ""},
		{"check --operators --json " + faultyOperators, ExitFaults, `"path": "/routes/1/service"`, ""},
		{"check --operators " + faultyOperators, ExitFaults, "faults: 3, warnings: 0", "faulty-operators.json:5:59: MF1077 /routes/1/prefix: "},
		{"check --operators --against " + operators + " " + nextOperators, ExitOK, "against version 7:\n~ queue/reports priority: 1 -> 0 [at-once]\n",
			"warning: testdata/next-operators.json:9:86: MF1087 /tenants/0/cap/cpu: "},
		{"check --operators --against " + nextOperators + " " + operators, ExitFaults, "faults: 1", "operators.json:2:14: MF1074 /version: "},
		{"check --operators --against " + operators + " " + operators, ExitOK, "no difference\n", ""},
		{"check --operators --with-settings testdata/settings.json " + operators, ExitOK, "faults: 0, warnings: 1", "MF1091 /services/1: "},
		{"check --operators --with-settings testdata/faulty-settings.json " + operators, ExitFaults, "", "MF1061 /node: "},
		{"check --operators " + kervanEtki, ExitFaults, "faults: 1", "fleet.json:1:1: MF1073 : "},
		{"check --operators --against missing.json " + operators, ExitUsage, "", "missing.json"},
		{"check --operators --settings " + operators, ExitUsage, "", "exclude each other"},
		{"check --against " + operators + " " + operators, ExitUsage, "", "need --operators"},
		{"inspect", ExitUsage, "", "not an address and a port"},
		{"inspect --store 127.0.0.1", ExitUsage, "", "not an address and a port"},
		{"", ExitUsage, "Commands:", ""},
		{"fly", ExitUsage, "", "fly"},
		{"--version", ExitOK, "1.2.3\n", ""},
		{"--help", ExitOK, "submit --seen-version", ""},
		{"help wave", ExitOK, "resume", ""},
		{"wave", ExitUsage, "", "subcommand"},
		{"wave turn x", ExitUsage, "", "turn"},
		{"diff " + kervanEtki + " " + kervanEtki, ExitOK, "no difference\n", ""},
		{"diff " + kervanEtki + " " + loneStar, ExitOK, "+ pool/crate\n", ""},
		{"diff --exit-code " + kervanEtki + " " + loneStar, ExitDifferent, "- pool/citation\n", ""},
		{"diff --exit-code --json " + kervanEtki + " " + kervanEtki, ExitOK, `"changes": []`, ""},
		{"diff " + kervanEtki + " " + faulty, ExitFaults, "", "MF1117"},
		{"diff a b c", ExitUsage, "", "one or two files"},
		{"submit " + kervanEtki, ExitUsage, "", "seen-version"},
		{"submit --seen-version 0 " + faulty, ExitFaults, "", "MF1117"},
		{"submit --seen-version 0 " + kervanEtki, ExitUsage, "", "no server is given"},
		{"jobs list --json --server https://127.0.0.1:1 --certificate none", ExitUsage, `"error": "client cert`, ""},
		{"completion bash", ExitOK, "complete -F _magnoliaferry_bash_autocomplete", ""},
		{"completion zsh", ExitOK, "#compdef magnoliaferry", ""},
		{"completion fish", ExitUsage, "", "bash,zsh"},
	}
	for _, test := range tests {
		code, out, errs := run(strings.Fields(test.arguments)...)
		if code != test.code {
			t.Errorf("%s: exit code got %d, want %d", test.arguments, code, test.code)
		}
		for _, stream := range [][2]string{{out, test.out}, {errs, test.errs}} {
			if !strings.Contains(stream[0], stream[1]) || (stream[1] == "" && stream[0] != "") {
				t.Errorf("%s: output got %q, want %q", test.arguments, stream[0], stream[1])
			}
		}
	}
}

// Guards against a key of a customer in what check prints.
func TestCheckPrintsNoKey(t *testing.T) {
	for _, file := range []string{operators, nextOperators, faultyOperators} {
		for _, other := range []string{operators, nextOperators, faultyOperators} {
			for _, flags := range []string{"", "--json "} {
				arguments := "check --operators " + flags + "--against " + other + " " + file
				if _, out, errs := run(strings.Fields(arguments)...); strings.Contains(out+errs, "secret") {
					t.Errorf("%s: output got %q and %q, want no key", arguments, out, errs)
				}
			}
		}
	}
}

// Guards against an inspect command that prints nothing, or that fails without the reason.
func TestInspect(t *testing.T) {
	table := standin.NewTable()
	table.Put("op", "config", []byte(`{"version":4,"services":[{"name":"p"}],"routes":[]}`))
	server := httptest.NewServer(&standin.Rows{Table: table})
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	code, out, errs := run("inspect", "--store", address)
	if code != ExitOK || !strings.Contains(out, "configuration version 4") || !strings.Contains(out, "p     none") {
		t.Errorf("inspect got %d, %q, %q, want version 4 and a pool without an owner", code, out, errs)
	}
	if code, out, _ := run("inspect", "--json", "--store", address); code != ExitOK || !strings.Contains(out, `"configuration": 4`) {
		t.Errorf("inspect --json got %d, %q, want JSON with version 4", code, out)
	}
	if code, _, errs := run("inspect", "--store", address, "nobody"); code == ExitOK || !strings.Contains(errs, `no job "nobody" is stored`) {
		t.Errorf("inspect of a missing job got %d, %q, want a failure that names the job", code, errs)
	}
	server.Close()
	if code, _, errs := run("inspect", "--store", address); code == ExitOK || !strings.Contains(errs, "the store at "+address) {
		t.Errorf("inspect without a store got %d, %q, want a failure that names the store", code, errs)
	}
}

// fixedIdentity identifies every caller as the operator ada.
type fixedIdentity struct{}

func (fixedIdentity) Identify(*http.Request) (string, bool) { return "ada", true }

type action func(ctx context.Context, env *Environment) error

// Guards against output or an exit code that differs from the server's answer.
func TestServerCommands(t *testing.T) {
	c, faults := clock.NewFake(0), &fault.Injector{}
	view := memory.New(c, faults).View("a")
	server := &operator.Server{Clock: c, Identity: fixedIdentity{},
		Store: &operator.Store{Clock: c, Table: view.Table(), Objects: view.Objects()}}
	web := httptest.NewServer(server.Handler())
	defer web.Close()
	at := Connection{Server: web.URL, HTTP: web.Client()}
	tests := []struct {
		name string
		run  action
		code int
		want string
	}{
		{"no version yet", CurrentOptions{Connection: at}.Run, ExitRefused, "MF1110 no-configuration"},
		{"first", SubmitOptions{Connection: at, File: kervanEtki}.Run, ExitOK, "version 1 is in force"},
		{"same", SubmitOptions{Connection: at, File: kervanEtki, Seen: 1}.Run, ExitOK, "already"},
		{"race", SubmitOptions{Connection: at, File: loneStar}.Run, ExitConflict, "+ pool/crate"},
		{"race, winner", SubmitOptions{Connection: at, File: loneStar}.Run, ExitConflict, "in force: version 1 by ada"},
		{"diff", DiffOptions{Connection: at, Files: []string{loneStar}, ExitCode: true}.Run, ExitDifferent, "version 1"},
		{"current", CurrentOptions{Connection: at, Body: true}.Run, ExitOK, `"name": "kervan-etki"`},
		{"drain", DrainOptions{Connection: at, Instance: "w"}.Run, ExitRefused, "MF1107 not-available"},
		{"wave", WaveOptions{Connection: at, Action: "start", Pool: "p"}.Run, ExitRefused, "MF1107"},
		{"jobs", JobsOptions{Connection: at, Action: "list"}.Run, ExitRefused, "MF1107"},
		{"cancel", JobsOptions{Connection: at, Action: "cancel", Job: "j"}.Run, ExitRefused, "MF1107"},
		{"status", StatusOptions{Connection: at}.Run, ExitRefused, "MF1107"},
		{"no server", StatusOptions{Connection{Server: "http://127.0.0.1:1", HTTP: web.Client()}}.Run, ExitUnavailable,
			"MF1113"},
	}
	for _, test := range tests {
		var printed bytes.Buffer
		env := &Environment{Out: &printed, Err: &printed}
		code := env.reportError(test.run(context.Background(), env))
		if code != test.code || !strings.Contains(printed.String(), test.want) {
			t.Errorf("%s: got %d, %q, want %d, %q", test.name, code, printed.String(), test.code, test.want)
		}
	}
	faults.Always(memory.StepCommit, fault.Down, 0)
	var printed bytes.Buffer
	env := &Environment{Out: &printed, Err: &printed, JSON: true}
	if got := env.reportError(SubmitOptions{Connection: at, File: loneStar, Seen: 1}.Run(context.Background(), env)); got != ExitUnavailable {
		t.Errorf("table down: got %d, want %d", got, ExitUnavailable)
	}
	var problem operator.ProblemFields
	if err := json.Unmarshal(printed.Bytes(), &problem); err != nil || problem.Outcome != "not-run" {
		t.Errorf("table down: got %q, want the refusal as JSON", printed.String())
	}
}

// Guards against arguments of a command that do not reach the server unchanged.
func TestArgumentsReachTheServer(t *testing.T) {
	var got string
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Method + " " + strings.TrimSuffix(r.URL.RequestURI(), "?")
		w.Write([]byte("{}"))
	}))
	defer web.Close()
	at := Connection{Server: web.URL, HTTP: web.Client()}
	for want, run := range map[string]action{
		"POST /operator/v1/waves/web/pause":                  WaveOptions{at, "pause", "web"}.Run,
		"POST /operator/v1/jobs/sweep/cancel":                JobsOptions{at, "cancel", "sweep"}.Run,
		"GET /operator/v1/jobs/sweep":                        JobsOptions{at, "show", "sweep"}.Run,
		"GET /operator/v1/status":                            StatusOptions{at}.Run,
		"POST /operator/v1/instances/a%2Fb/drain?force=true": DrainOptions{at, "a/b", true}.Run,
	} {
		var printed bytes.Buffer
		if err := run(context.Background(), &Environment{Out: &printed}); err != nil || got != want {
			t.Errorf("request got %q, %v, want %q", got, err, want)
		}
	}
}

// Guards against an exit code that the page for operators leaves out.
func TestExitCodesTable(t *testing.T) {
	page, err := os.ReadFile("../docs/exit-codes.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := map[string]bool{}
	for _, match := range regexp.MustCompile(`(?m)^\| (\d+) \|`).FindAllStringSubmatch(string(page), -1) {
		documented[match[1]] = true
	}
	codes := []int{ExitOK, ExitFaults, ExitUsage, ExitConflict, ExitRefused, ExitUnavailable, ExitUnknown, ExitDifferent,
		ExitAborted, ExitFailed}
	if got, want := len(documented), len(codes); got != want {
		t.Errorf("table got %d codes, want %d", got, want)
	}
	for _, code := range codes {
		if !documented[strconv.Itoa(code)] {
			t.Errorf("exit code %d got no row, want one", code)
		}
	}
}

// Guards against a page for operators that shows an invalid configuration.
func TestDocumentedConfiguration(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(page), "```json\n")
	body, _, _ := strings.Cut(rest, "```")
	file := filepath.Join(t.TempDir(), "fleet.json")
	if err := os.WriteFile(file, []byte(body), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, out, errs := run("check", file); code != ExitOK {
		t.Errorf("check got %d, %s%s, want %d", code, out, errs, ExitOK)
	}
}

// Guards against a status that omits which entry instances lag or are not alive, or why no pools are shown.
func TestStatusText(t *testing.T) {
	text := statusText(operator.StatusFields{Version: 4, Unavailable: "the table does not answer",
		Entries: []operator.EntryStatusFields{{ID: "e1", Zone: "a", Incarnation: 7, Version: 4, Alive: true},
			{ID: "e2", Zone: "b", Incarnation: 8, Version: 2, Lag: 2, ReportAge: 1500},
			{ID: "e3", Zone: "b", Incarnation: 9, Lag: 4, ReportAge: -1, Alive: true}}})
	fields := strings.Join(strings.Fields(text), " ")
	for _, want := range []string{"the table does not answer", "e1 a 7 4 0 0 ms alive", "e2 b 8 2 2 1500 ms not alive",
		"e3 b 9 0 4 none alive"} {
		if !strings.Contains(fields, want) {
			t.Errorf("status text got\n%s, want %q in it", text, want)
		}
	}
}
