package collector

// Finding is one validation error of an input.
type Finding struct {
	Position Position
	Problem  string // Problem is a predicate, such as "is negative".
	Fix      string // Fix is an instruction, such as "give a number of 0 or more".
}

// String returns the finding as "file:line: section.key: problem; fix".
func (f Finding) String() string {
	return f.Position.String() + ": " + f.Problem + "; " + f.Fix
}
