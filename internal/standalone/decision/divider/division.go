package divider

import (
	"encoding/json"
	"fmt"
	"maps"

	"github.com/go-faster/errors"
)

// Division is the stored division of one team's limit.
type Division struct {
	// Shares are in thousandths by failure domain; a missing domain has no share.
	Shares map[string]int64 `json:"shares"`
}

// Prefix returns the name prefix of the shard's divisions.
func Prefix(shard int) string {
	return fmt.Sprintf("division/%d/", shard)
}

// ObjectName returns the name of the object that stores the team's division.
func ObjectName(shard int, team string) string {
	return Prefix(shard) + team
}

// EqualDivision returns the division in equal shares.
func EqualDivision(domains []string) Division {
	shares := map[string]int64{}
	for _, domain := range domains {
		shares[domain] = FullShare / int64(len(domains))
	}
	return Division{Shares: shares}
}

// Decode reads a division. Negative shares, and shares that sum to more than the
// full share, are an error.
func Decode(value []byte) (Division, error) {
	var division Division
	if err := json.Unmarshal(value, &division); err != nil {
		return Division{}, errors.Wrap(err, "divider.Decode")
	}
	if division.Unallocated() < 0 {
		return Division{}, errors.New("divider.Decode: a share is negative or the shares sum to more than 1000 thousandths")
	}
	return division, nil
}

// Encode returns the division in its stored form.
func (d Division) Encode() []byte {
	value, err := json.Marshal(d)
	if err != nil {
		panic("divider.Division.Encode: " + err.Error())
	}
	return value
}

// Unallocated returns the share that no domain has; -1 when a share is negative.
func (d Division) Unallocated() int64 {
	unallocated := int64(FullShare)
	for _, share := range d.Shares {
		if share < 0 {
			return -1
		}
		unallocated -= share
	}
	return unallocated
}

// WithShare returns the division with another share for the domain.
func (d Division) WithShare(domain string, share int64) Division {
	d.Shares = maps.Clone(d.Shares)
	d.Shares[domain] = share
	return d
}
