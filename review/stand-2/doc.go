// Command stand-2 plays the scripts of the second review. It serves small stand-ins of the users' platform (store, machines and workers) on
// loopback addresses, starts instances of the product as separate processes, acts as the callers, and checks one rule. It exits with 1
// if the rule was broken, with 0 if it held, and with 2 if the case could not run. With TROUBLE=0 it plays the case without its disruption.
package main
