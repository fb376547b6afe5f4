// Package test holds scenarios that run the real program: hosts, stand-in groups
// and a stand-in store as processes on loopback, driven by PostgreSQL clients.
package test
