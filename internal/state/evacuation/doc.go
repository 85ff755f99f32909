// Package evacuation decides from the rows of the operator's table which data centres are evacuated.
//
// Only the key of a row counts: an operator who writes a value that cannot be read still wants the evacuation. The package
// does no I/O and reads no clock: the caller passes in the rows and the time, and gets the set and the findings to log.
package evacuation
