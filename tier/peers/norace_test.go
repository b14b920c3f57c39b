//go:build !race

package peers

// maxFleetHosts is the largest number of hosts of a test in virtual time.
const maxFleetHosts = 300

// maxModelHosts is the largest number of hosts of a fleet model.
const maxModelHosts = 584
