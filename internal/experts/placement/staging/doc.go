// Package staging decides how many bytes of expert weights each rank takes in during each step.
//
// It is pure: the caller passes in the time and the slack that each rank is expected to have in the step, carries out
// the pieces that Step returns, and asks again in the next step.
package staging
