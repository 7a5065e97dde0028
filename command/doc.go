// Package command is the command line. Each command stands in its own file, registers itself, fills an options struct
// and calls its Run method, which programs can call with the same options.
package command
