// Package precheck checks a configuration of the operators before it is sent, and compares it with the version in force. It is pure: the
// caller reads the files, with package platform, and prints the results. No result contains a key.
package precheck
