package objectstore

// Role is what an instance of the instance list does.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// State is how the platform sees an instance.
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
	// Incarnation differs for each start of the instance.
	Incarnation string `json:"incarnation"`
	// Models are the models that an engine serves.
	Models []string `json:"models,omitempty"`
	// Weights is the version of the weights that an engine has loaded.
	Weights string `json:"weights,omitempty"`
	// Service is the name of the plain service.
	Service string `json:"service,omitempty"`
}
