// Package metrics provides the histograms of an instance, which expvar publishes.
package metrics
