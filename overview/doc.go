// Package overview reads what the instances on the users' platform have stored, for operators: the configuration in force, who
// owns what, pools, machines that are wanted, waves and jobs. It changes nothing.
package overview
