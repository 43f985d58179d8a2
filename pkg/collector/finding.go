package collector

// Finding is one thing wrong with an input.
type Finding struct {
	Place Place
	What  string // What is wrong, as a predicate: "is negative".
	Cure  string // Cure is how to mend it, as an order: "give a number of 0 or more".
}

// String returns the finding as "file:line: section.key: what; cure".
func (f Finding) String() string {
	return f.Place.String() + ": " + f.What + "; " + f.Cure
}
