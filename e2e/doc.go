// Package e2e tests the daemons as separate processes that are killed, frozen and cut off
// from each other, and while the store fails.
package e2e
