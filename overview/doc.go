// Package overview reads what the instances on the users' platform have stored, for operators: the configuration in force, the
// owners of pools and machines, pools, withdrawals of machines, waves and jobs. It writes nothing.
package overview
