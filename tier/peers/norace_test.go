//go:build !race

package peers

// manyHosts is the largest number of hosts of a test in virtual time.
const maxFleetHosts = 300

// modelMost is the largest fleet of which each host's table is modelled.
const maxModelHosts = 584
