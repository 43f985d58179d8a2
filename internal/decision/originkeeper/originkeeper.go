// Package originkeeper keeps where streams began.
package originkeeper
