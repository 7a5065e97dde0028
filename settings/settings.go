package settings

import (
	_ "embed"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"magnoliaferry/clock"
	"magnoliaferry/diag"
	"magnoliaferry/provider"
	"magnoliaferry/strictjson"
)

// The diagnostic codes of settings, in addition to those of strictjson.
const (
	CodeAddress             diag.Code = 1000
	CodePlugin              diag.Code = 1001
	CodeDuplicateAddress    diag.Code = 1002
	CodeFile                diag.Code = 1003
	CodeTrustLoopback       diag.Code = 1004
	CodeStopTimes           diag.Code = 1005
	CodeNoClientAuthorities diag.Code = 1006
	CodeSeedsWithoutPeers   diag.Code = 1007
)

// Codes returns the names of the diagnostics of settings by code, for the table in docs/diagnostics.md.
func Codes() map[diag.Code]string {
	return map[diag.Code]string{
		CodeAddress:             "address",
		CodePlugin:              "unknown-plugin",
		CodeDuplicateAddress:    "address-used-twice",
		CodeFile:                "unreadable-file",
		CodeTrustLoopback:       "trust-loopback-elsewhere",
		CodeStopTimes:           "stop-times",
		CodeNoClientAuthorities: "no-client-authorities",
		CodeSeedsWithoutPeers:   "seeds-without-peers",
	}
}

const (
	maxBody  = 1 << 20 // maximum size in bytes
	maxDepth = 6       // maximum nesting depth
)

// The defaults of optional settings.
const (
	DefaultClaimInterval = 30 * clock.Millis(1)
	DefaultLeave         = 5 * clock.Second
	DefaultStop          = 40 * clock.Second
)

//go:embed schema.json
var schema []byte

var format = strictjson.NewFormat("magnoliaferry:settings", schema, maxBody, maxDepth, nil)

// TLS names the PEM files of a certificate, its private key, and the certificate authorities that the other side's
// certificate is verified against. Authorities "" means that no client certificate is required;
// it is not allowed for operators and peers.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authorities string `json:"authorities"`
}

// Listener is the configuration of one listening port.
type Listener struct {
	Listen string   `json:"listen"` // IP address and port
	TLS    *TLS     `json:"tls"`    // nil for plain TCP
	Seeds  []string `json:"seeds"`  // addresses of other entry instances; only allowed for peers
	// TrustLoopback accepts operators without a certificate, with the identity "loopback". It is meant for local trials
	// and only allowed for operators on a loopback address.
	TrustLoopback bool `json:"trust-loopback"`
}

// Platform selects the platform plug-in and the address that is passed to it.
type Platform struct {
	Plugin  string `json:"plugin"`
	Address string `json:"address"`
}

// Trace selects the exporter of trace spans and its target.
type Trace struct {
	Exporter string `json:"exporter"` // name in trace.Exporters, such as "file" and "otlp"
	Target   string `json:"target"`   // path or URL
}

// Settings holds the settings of one entry instance, for the command line and for use as a library.
type Settings struct {
	Name          string
	Zone          string
	Contact       string // operator contact in refusals while no configuration is loaded
	Callers       Listener
	Operators     Listener
	Peers         Listener
	Metrics       *Listener // serves expvar; nil for none
	Platform      Platform
	Policy        string       // name of the policy that selects workers; "" for the default
	ClaimInterval clock.Millis // average time between two transactions of the claim store; 0 for claim.DefaultInterval; DefaultClaimInterval if not in the file
	Leave         clock.Millis // on a stop: how long the health check fails before new requests are no longer accepted
	Stop          clock.Millis // on a stop: time limit, which includes Leave, after which requests in flight are aborted and reported
	Trace         *Trace
	LogLevel      string // debug, info, warn or error
}

// wire is the JSON form of Settings.
type wire struct {
	Name          string              `json:"name"`
	Zone          string              `json:"zone"`
	Contact       string              `json:"contact"`
	Callers       Listener            `json:"callers"`
	Operators     Listener            `json:"operators"`
	Peers         Listener            `json:"peers"`
	Metrics       *Listener           `json:"metrics"`
	Platform      Platform            `json:"platform"`
	Policy        string              `json:"policy"`
	ClaimInterval strictjson.Duration `json:"claim-interval"`
	Stop          struct {
		Leave    strictjson.Duration `json:"leave"`
		Deadline strictjson.Duration `json:"deadline"`
	} `json:"stop"`
	Trace    *Trace `json:"trace"`
	LogLevel string `json:"log-level"`
}

// Read reads settings from a file; see Decode.
func Read(file string) (Settings, diag.List) {
	body, err := os.ReadFile(file)
	if err != nil {
		var list diag.List
		list.Add(diag.New(CodeFile, file, 0, "", err.Error()))
		return Settings{}, list
	}
	return Decode(file, body)
}

// Decode parses and validates settings and returns all diagnostics found, with zero Settings if there are any; file names
// the body in the diagnostics.
func Decode(file string, body []byte) (Settings, diag.List) {
	d := format.Read(file, body)
	w := wire{LogLevel: "info", ClaimInterval: strictjson.Duration(DefaultClaimInterval)}
	w.Stop.Leave, w.Stop.Deadline = strictjson.Duration(DefaultLeave), strictjson.Duration(DefaultStop)
	if d.Unmarshal(&w) {
		check(d, w)
	}
	if list := d.Diagnostics(); list.Len() > 0 {
		return Settings{}, list
	}
	return Settings{Name: w.Name, Zone: w.Zone, Contact: w.Contact, Callers: w.Callers, Operators: w.Operators,
		Peers: w.Peers, Metrics: w.Metrics, Platform: w.Platform, Policy: w.Policy,
		ClaimInterval: clock.Millis(w.ClaimInterval), Leave: clock.Millis(w.Stop.Leave),
		Stop: clock.Millis(w.Stop.Deadline), Trace: w.Trace, LogLevel: w.LogLevel}, diag.List{}
}

// check reports violations of the rules that the JSON schema cannot express.
func check(d *strictjson.Document, w wire) {
	listeners := []struct {
		path string
		l    *Listener
	}{{"/callers", &w.Callers}, {"/operators", &w.Operators}, {"/peers", &w.Peers}, {"/metrics", w.Metrics}}
	used := map[string]string{}
	for _, listener := range listeners {
		if listener.l == nil || listener.l.Listen == "" {
			continue
		}
		checkListener(d, listener.path, *listener.l)
		listenPath := listener.path + "/listen"
		if first, duplicate := used[listener.l.Listen]; duplicate && !d.HasDiagnostic(listenPath) {
			d.Report(CodeDuplicateAddress, listenPath, "the address %q is already used by %s", listener.l.Listen, first)
		}
		// With port 0 the system chooses a free port, so that several listeners can have the same address.
		if port, _ := netip.ParseAddrPort(listener.l.Listen); port.Port() != 0 {
			used[listener.l.Listen] = listenPath
		}
	}
	if _, known := provider.Plugins.Lookup(w.Platform.Plugin); !known && w.Platform.Plugin != "" {
		d.Report(CodePlugin, "/platform/plugin", "unknown platform plug-in %q; the available ones are %q", w.Platform.Plugin,
			provider.Plugins.Names())
	}
	if w.Stop.Leave > w.Stop.Deadline {
		d.Report(CodeStopTimes, "/stop/leave", "the duration is longer than that of /stop/deadline; a duration that is not set has its default")
	}
}

func checkListener(d *strictjson.Document, path string, l Listener) {
	address, err := netip.ParseAddrPort(l.Listen)
	if err != nil {
		d.Report(CodeAddress, path+"/listen", "%q is not an IP address with a port", l.Listen)
	} else if path == "/peers" && address.Addr().IsUnspecified() {
		d.Report(CodeAddress, path+"/listen", "other entry instances cannot reach %q; give the address of this instance",
			l.Listen)
	}
	for i, seed := range l.Seeds {
		fieldPath := path + "/seeds/" + strconv.Itoa(i)
		if path != "/peers" {
			d.Report(CodeSeedsWithoutPeers, fieldPath, "seeds are allowed for peers only")
		} else if _, err := netip.ParseAddrPort(seed); err != nil && !d.HasDiagnostic(fieldPath) {
			d.Report(CodeAddress, fieldPath, "%q is not an IP address with a port", seed)
		}
	}
	if l.TrustLoopback && (path != "/operators" || !address.Addr().IsLoopback()) {
		d.Report(CodeTrustLoopback, path+"/trust-loopback",
			"trust-loopback is allowed only for operators on a loopback address")
	}
	if l.TLS == nil {
		return
	}
	files := []struct{ field, name string }{{"certificate", l.TLS.Certificate}, {"key", l.TLS.Key},
		{"authorities", l.TLS.Authorities}}
	for _, f := range files {
		fieldPath := path + "/tls/" + f.field
		if f.name == "" || d.HasDiagnostic(fieldPath) {
			continue
		}
		if err := checkReadable(f.name); err != nil {
			d.Report(CodeFile, fieldPath, "%v", err)
		}
	}
	if l.TLS.Authorities == "" && path != "/callers" && path != "/metrics" {
		d.Report(CodeNoClientAuthorities, path+"/tls",
			"the field authorities is missing; client certificates cannot be verified without it")
	}
}

func checkReadable(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("the file is not readable: %w", err)
	}
	return f.Close()
}
