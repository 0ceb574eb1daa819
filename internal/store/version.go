package store

// A version orders the states of a store across its eras. A store may come back
// from an older copy: its revisions go back then and are given out again, and its
// era rises. So a version holds both, the era first, and versions are compared as
// numbers.
//
// What goes wrong if revisions alone are compared: after such a return everything
// new looks old until the revisions have passed those that were lost, and a
// revision that is given out again looks like the state that it was before. One
// notices changes that are in force nowhere for minutes.

// revisionBits is how much of a version is its revision: at a thousand changes a
// second it lasts for 30 years.
const revisionBits = 40

// maxRevision is the highest revision that a version holds.
const maxRevision = 1<<revisionBits - 1

// VersionAt returns the version of a revision in an era. A revision beyond the
// highest counts as that.
func VersionAt(era, revision uint64) uint64 {
	return era<<revisionBits | min(revision, maxRevision)
}

// EraOf returns the era of a version.
func EraOf(version uint64) uint64 { return version >> revisionBits }

// RevisionOf returns the revision of a version within its era.
func RevisionOf(version uint64) uint64 { return version & maxRevision }
