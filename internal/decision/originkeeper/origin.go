package originkeeper

// Origin is where a stream began. It may go on only at servers of the same service and of
// the same version of their software. Values are immutable.
type Origin struct {
	Service         string
	SoftwareVersion string
}
