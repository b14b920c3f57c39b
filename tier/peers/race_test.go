//go:build race

package peers

// maxFleetHosts is the largest number of hosts of a test in virtual time. The race detector's
// runtime crashes if too many hosts send messages at once ("ThreadSanitizer: CHECK failed");
// without it, the tests run with more hosts.
const maxFleetHosts = 60

// maxModelHosts is the largest number of hosts of a fleet model.
const maxModelHosts = 60
