// Package caller sends requests as a correct client of the entries does: it
// retries what was not run, resumes an aborted stream at another entry, and
// repeats an order only under the same ticket or key.
package caller
