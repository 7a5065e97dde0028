// Package measure runs the decision code on a fake clock against small fakes, by seed, and reports the figures of
// every policy side by side as a table, JSON and SVG.
package measure
