// Stand-3 plays the scripts of the third review: it serves stand-ins of the store, the machines, the advisor and the workers on loopback
// addresses, starts instances of the deploy build as processes, and checks rules of the users' pages on what the stand-ins saw.
package main
