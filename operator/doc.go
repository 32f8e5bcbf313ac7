// Package operator serves the API for operators: it publishes documents and
// reports the version in force in each domain and the progress of rollouts.
//
// A publication is reported as accepted only after it was read back from the
// log as the first one for its base. A publication that lost this race or has
// faults changes nothing. After any other error the outcome is unknown; it is
// safe to send the same publication again.
package operator
