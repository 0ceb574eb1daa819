package board

// Features are what the build of an instance does, as bits, where other builds have to
// know it. Builds that know of no features state none.
type Features uint32

// StageCallsApart: each call of a stage target has a connection of its own. Without it, a
// late second response to one call may be taken for that to the next one, and requests that
// the instance schedules may get the results of others.
const StageCallsApart Features = 1 << 0

// OwnFeatures are those of this build.
const OwnFeatures = StageCallsApart

// Has reports whether all features of want are among f.
func (f Features) Has(want Features) bool { return f&want == want }
