package command

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"magnoliaferry/config"
	"magnoliaferry/operator"
)

// clientTimeout is longer than the time that an entry instance takes to find out whether a commit took effect when the
// table's answer was lost.
const clientTimeout = 30 * time.Second

// Connection is the address of an entry instance and the operator's credentials for it.
type Connection struct {
	Server      string // "https://<ip>:<port>"
	Certificate string // PEM files
	Key         string
	Authority   string
	HTTP        *http.Client // used instead of the files when it is set
}

func (c *Connection) flags(command *kingpin.CmdClause) {
	flag := func(name, help, variable string, value *string) {
		command.Flag(name, help).Envar("MAGNOLIAFERRY_" + variable).StringVar(value)
	}
	flag("server", "Address of an entry instance, such as https://192.0.2.1:7443.", "SERVER", &c.Server)
	flag("certificate", "Client certificate of the operator (PEM file).", "CERTIFICATE", &c.Certificate)
	flag("key", "Key of the certificate (PEM file).", "KEY", &c.Key)
	flag("authority", "Authority that signed the server's certificate (PEM file).", "AUTHORITY", &c.Authority)
}

func (c Connection) client() (*operator.Client, error) {
	if c.Server == "" {
		return nil, usageError{fmt.Errorf("no server is given; use --server or MAGNOLIAFERRY_SERVER")}
	}
	if c.HTTP != nil {
		return &operator.Client{Address: c.Server, HTTP: c.HTTP}, nil
	}
	if c.Certificate == "" && c.Key == "" && c.Authority == "" {
		// An entry instance that trusts loopback requires no certificate; any other refuses the call.
		return &operator.Client{Address: c.Server, HTTP: &http.Client{Timeout: clientTimeout}}, nil
	}
	h, err := operator.NewHTTPClient(c.Certificate, c.Key, c.Authority)
	if err != nil {
		return nil, usageError{err}
	}
	return &operator.Client{Address: c.Server, HTTP: h}, nil
}

// readFile reads a configuration, at most one byte more than the limit, so that Decode reports a body that is too long.
func readFile(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, usageError{err}
	}
	defer f.Close()
	body, err := io.ReadAll(io.LimitReader(f, config.MaxBody+1))
	if err != nil {
		return nil, usageError{err}
	}
	return body, nil
}

func decodeFile(name string) (*config.Configuration, error) {
	body, err := readFile(name)
	if err != nil {
		return nil, err
	}
	c, faults := config.Decode(name, body)
	return c, faults.Err()
}
