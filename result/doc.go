// Package result defines the numbered result codes that callers and operators receive. Each code states whether the
// request ran, did not run, or has an unknown outcome.
package result
