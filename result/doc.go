// Package result defines the numbered result codes that callers and operators receive, each with what it says about
// the request: ran, not run, or outcome unknown.
package result
