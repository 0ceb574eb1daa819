package store

// A version orders the states of a store across its eras (restore epochs). When a
// store is restored from an older copy, its revisions go back and are assigned
// again, and its era increases. A version therefore holds both, with the era in the
// high bits, and versions are compared as numbers.
//
// If only revisions were compared, then after a restore everything new would look
// old until the revisions exceed those that were lost, and a revision that is
// assigned again would look like the state that had it before. The symptom is
// changes that are not in force anywhere for minutes.

// revisionBits is the number of low bits of a version that hold its revision. At a
// thousand changes a second they last for 30 years.
const revisionBits = 40

// maxRevision is the highest revision that a version can hold.
const maxRevision = 1<<revisionBits - 1

// VersionAt returns the version of a revision in an era. A revision above the highest
// one counts as the highest.
func VersionAt(era, revision uint64) uint64 {
	return era<<revisionBits | min(revision, maxRevision)
}

// EraOf returns the era of a version.
func EraOf(version uint64) uint64 { return version >> revisionBits }

// RevisionOf returns the revision of a version within its era.
func RevisionOf(version uint64) uint64 { return version & maxRevision }
