package document

import "dandelionrail.org/rail/section"

// Fault is one error in a document, with its line and what to change.
type Fault = section.Fault
