//go:build race

package peers

// maxFleetHosts is the largest number of hosts of a test in virtual time. With more, the race
// detector's runtime crashes ("ThreadSanitizer: CHECK failed").
const maxFleetHosts = 60

// maxModelHosts is the largest number of hosts of a fleet model.
const maxModelHosts = 60
