// Package measure simulates the request path and the control loops of a fleet. It runs the production code for
// admission, routing, slots, claims and planning on a fake clock against small fakes. A run depends only on its seed.
// The figures of all policies are reported side by side as Markdown tables, JSON and SVG charts.
package measure
