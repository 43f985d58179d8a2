package main

import (
	"os"
	"strconv"
)

// intEnv returns a number from the environment.
func intEnv(name string, fallback int) int {
	if v, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return v
	}
	return fallback
}
