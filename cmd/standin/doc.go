// Command standin runs small stand-ins for the platform, a model engine and a
// plain service, for tests and the demo.
package main
