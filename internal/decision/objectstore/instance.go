package objectstore

// Role is the function of a listed instance.
type Role string

// The roles.
const (
	// RoleEntry is the role of the instances of this proxy.
	RoleEntry   Role = "entry"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// State is the state of an instance according to the store.
type State string

// The states.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
	StateGone    State = "gone"
)

// Instance is one entry of the instance list.
type Instance struct {
	Name    string `json:"name"`
	Role    Role   `json:"role"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	State   State  `json:"state"`
	// Incarnation is unique to each start of the instance.
	Incarnation string `json:"incarnation"`
	// Models are the names of the models that an engine serves.
	Models []string `json:"models,omitempty"`
	// Weights is the version of the weights that an engine has loaded.
	Weights string `json:"weights,omitempty"`
	// Service is the name of the service that a service instance belongs to.
	Service string `json:"service,omitempty"`
}
