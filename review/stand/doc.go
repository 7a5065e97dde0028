// Command stand starts instances of magnoliaferry as processes on loopback addresses against small stand-ins of the platform's
// store, of workers, of the advisor and of the platform's list of machines, plays one case of the review, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment it
// plays the same without the disruption.
package main
