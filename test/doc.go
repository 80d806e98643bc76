// Package test holds failure tests and benchmarks that run the real binaries.
package test
