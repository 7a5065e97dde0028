// Package crowd tests an instance, as a process, against crowds of clients that do not keep to the limits of the interface.
package crowd
