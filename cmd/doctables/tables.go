package main

import (
	"bytes"
	"fmt"

	_ "magnoliaferry/command" // imports every package that declares codes or events
	"magnoliaferry/event"
	"magnoliaferry/result"
)

// tables returns the contents of the generated pages, by file name.
func tables() map[string][]byte {
	return map[string][]byte{
		"docs/result-codes.md": resultCodes(),
		"docs/log-events.md":   logEvents(),
	}
}

func resultCodes() []byte {
	var b bytes.Buffer
	b.WriteString(`# Result codes

Written by ` + "`make generate`" + ` from the code. Callers and operators receive the number in the header
` + "`Magnoliaferry-Result`" + ` and in the body of a refusal, together with the outcome:

- ` + "`ran`" + `: the request was run, once.
- ` + "`not-run`" + `: the request was certainly not run; it can be repeated.
- ` + "`unknown`" + `: the request may have run. Repeat it only under the same request key, or ask the contact.

The header ` + "`Retry-After`" + ` and the field ` + "`retry-after-ms`" + ` say when to try again, ` + "`contact`" + ` names the operator contact
that answers for the pool.

| code | name | HTTP status | outcome | meaning |
|---|---|---|---|---|
`)
	for _, c := range result.All() {
		fmt.Fprintf(&b, "| %d | %s | %d | %s | %s |\n", c.Number(), c.Name(), c.Status(), c.Outcome(), c.Text())
	}
	return b.Bytes()
}

func logEvents() []byte {
	var b bytes.Buffer
	b.WriteString(`# Log events

Written by ` + "`make generate`" + ` from the code. Every log record carries the number in the attribute ` + "`event`" + ` and the
name in the attribute ` + "`name`" + `.

| event | name | level | message |
|---|---|---|---|
`)
	for _, e := range event.All() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number(), e.Name(), e.Level(), e.Text())
	}
	return b.Bytes()
}
