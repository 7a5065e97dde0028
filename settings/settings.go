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

// The diagnostics of settings besides those of strictjson.
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

// Codes returns the name of every diagnostic of settings by its number, for the table in docs/diagnostics.md.
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
	maxBody  = 1 << 20
	maxDepth = 6
)

// The defaults of settings that may be left out.
const (
	DefaultClaimInterval = 30 * clock.Millis(1)
	DefaultLeave         = 5 * clock.Second
	DefaultStop          = 40 * clock.Second
)

//go:embed schema.json
var schema []byte

var format = strictjson.NewFormat("magnoliaferry:settings", schema, maxBody, maxDepth, nil)

// TLS names the files of a certificate, its key and the authorities of the other side, in PEM.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authorities string `json:"authorities"`
}

// Listener is one port of the process.
type Listener struct {
	Listen string   `json:"listen"` // IP address and port
	TLS    *TLS     `json:"tls"`    // nil for plain TCP
	Seeds  []string `json:"seeds"`  // addresses of other entry instances; for peers only
	// TrustLoopback accepts operators without a certificate, under the name "loopback". It is allowed on a loopback
	// address only, for trials.
	TrustLoopback bool `json:"trust-loopback"`
}

// Platform says which platform plug-in to use.
type Platform struct {
	Plugin  string `json:"plugin"`
	Address string `json:"address"`
}

// Trace says where spans go.
type Trace struct {
	Exporter string `json:"exporter"`
	Target   string `json:"target"`
}

// Settings are the settings of one entry instance; the same fields serve the command line and the library.
type Settings struct {
	Name          string
	Zone          string
	Contact       string // operator contact for refusals while no configuration is known
	Callers       Listener
	Operators     Listener
	Peers         Listener
	Metrics       *Listener // expvar; nil for none
	Platform      Platform
	Policy        string // selection policy; "" for the default
	ClaimInterval clock.Millis
	Leave         clock.Millis // between leaving the balancer's health check and accepting nothing new
	Stop          clock.Millis // until requests in flight are cut and reported
	Trace         *Trace
	LogLevel      string
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

// Read reads settings from a file.
func Read(file string) (Settings, diag.List) {
	body, err := os.ReadFile(file)
	if err != nil {
		var list diag.List
		list.Add(diag.New(CodeFile, file, 0, "", err.Error()))
		return Settings{}, list
	}
	return Decode(file, body)
}

// Decode reads settings strictly and reports every fault; file names the body in the diagnostics.
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

// check reports what the schema cannot express.
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
			d.Report(CodeDuplicateAddress, listenPath, "%q is already used by %s", listener.l.Listen, first)
		}
		if port, _ := netip.ParseAddrPort(listener.l.Listen); port.Port() != 0 {
			used[listener.l.Listen] = listenPath
		}
	}
	if _, known := provider.Plugins.Lookup(w.Platform.Plugin); !known && w.Platform.Plugin != "" {
		d.Report(CodePlugin, "/platform/plugin", "%q is none of %q", w.Platform.Plugin, provider.Plugins.Names())
	}
	if w.Stop.Leave > w.Stop.Deadline {
		d.Report(CodeStopTimes, "/stop/leave", "the time to leave is longer than the deadline to stop")
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
			d.Report(CodeSeedsWithoutPeers, fieldPath, "only peers have seeds")
		} else if _, err := netip.ParseAddrPort(seed); err != nil && !d.HasDiagnostic(fieldPath) {
			d.Report(CodeAddress, fieldPath, "%q is not an IP address with a port", seed)
		}
	}
	if l.TrustLoopback && (path != "/operators" || !address.Addr().IsLoopback()) {
		d.Report(CodeTrustLoopback, path+"/trust-loopback", "only operators on a loopback address can be trusted")
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
		d.Report(CodeNoClientAuthorities, path+"/tls", "the authorities of the client certificates are missing")
	}
}

func checkReadable(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("the file cannot be read: %w", err)
	}
	return f.Close()
}
