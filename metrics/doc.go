// Package metrics holds the counters and histograms of an instance; expvar serves them.
package metrics
