package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireNames []byte

//go:embed request.txt
var requestForm string

//go:embed settings.conf
var settingsForm string

//go:embed state.json
var statesForm []byte

// wire has the names of header fields and paths on the wire.
var wire = func() (names struct {
	Attempt, Stamp, Target, Tenant, ExpectedVersion, Weights, Instance      string
	Calls, Report, CacheList, CacheEvents, Objects, Ready, SettingsVariable string
}) {
	if err := json.Unmarshal(wireNames, &names); err != nil {
		panic(err)
	}
	return names
}()
