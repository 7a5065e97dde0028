// Command doctables writes the tables of result codes and log events in docs/ from what the packages declare.
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
