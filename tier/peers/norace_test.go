//go:build !race

package peers

// manyHosts is the largest number of hosts of a test in virtual time.
const manyHosts = 300
