// Package command implements the command line. Each command has its own file, in which it registers itself, fills an
// options struct from its flags and arguments and calls the struct's Run method. Programs can call Run with the same
// options.
package command
