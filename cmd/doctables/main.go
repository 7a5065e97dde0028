// Command doctables writes docs/result-codes.md and docs/log-events.md, the tables of the result codes and log events
// that the packages declare.
package main

import (
	"fmt"
	"os"
)

func main() {
	for name, content := range tables() {
		if err := os.WriteFile(name, content, 0o644); err != nil {
			fmt.Fprintln(os.Stderr, "doctables:", err)
			os.Exit(1)
		}
	}
}
