// Package staging decides how many bytes of expert weights each rank loads during each step.
//
// It is pure: the caller passes in the time and the slack of each rank (how long the rank is expected to wait for the
// slowest one in the step), loads the pieces that Step returns, and calls Step again for the next step.
package staging
