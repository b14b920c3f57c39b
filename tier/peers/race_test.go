//go:build race

package peers

// maxFleetHosts is the largest number of hosts of a test in virtual time. The race detector's
// runtime ends the process where 300 hosts send messages at once ("ThreadSanitizer: CHECK
// failed"); these tests are run with all hosts without it besides.
const maxFleetHosts = 60

// maxModelHosts is the largest fleet of which each host's table is modelled.
const maxModelHosts = 60
