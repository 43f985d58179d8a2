package divider

import (
	"encoding/json"
	"fmt"
	"maps"

	"github.com/go-faster/errors"
)

// Division is one team's division as it is stored.
type Division struct {
	// Shares are thousandths by failure domain; a domain without one has none.
	Shares map[string]int64 `json:"shares"`
}

// Prefix returns the prefix of the names of the divisions of a shard.
func Prefix(shard int) string {
	return fmt.Sprintf("division/%d/", shard)
}

// ObjectName returns the name of the object that has the team's division.
func ObjectName(shard int, team string) string {
	return Prefix(shard) + team
}

// EqualDivision returns the division in equal parts.
func EqualDivision(domains []string) Division {
	shares := map[string]int64{}
	for _, domain := range domains {
		shares[domain] = FullShare / int64(len(domains))
	}
	return Division{Shares: shares}
}

// Decode reads a division. One that gives out more than the whole is an error.
func Decode(value []byte) (Division, error) {
	var division Division
	if err := json.Unmarshal(value, &division); err != nil {
		return Division{}, errors.Wrap(err, "divider.Decode")
	}
	if division.Unallocated() < 0 {
		return Division{}, errors.New("divider.Decode: the shares sum to more than the whole")
	}
	return division, nil
}

// Encode returns the division as it is stored.
func (d Division) Encode() []byte {
	value, err := json.Marshal(d)
	if err != nil {
		panic("divider.Division.Encode: " + err.Error())
	}
	return value
}

// Unallocated returns what no domain has.
func (d Division) Unallocated() int64 {
	free := int64(FullShare)
	for _, share := range d.Shares {
		if share < 0 {
			return -1
		}
		free -= share
	}
	return free
}

// WithShare returns the division with another number for the domain.
func (d Division) WithShare(domain string, share int64) Division {
	d.Shares = maps.Clone(d.Shares)
	d.Shares[domain] = share
	return d
}
