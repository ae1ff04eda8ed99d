// Package e2e tests the daemons as separate processes under kills, freezes, cut
// links and store outages.
package e2e
