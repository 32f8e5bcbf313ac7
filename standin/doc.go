// Package standin holds the code shared by the stand-ins, the test servers
// that take the place of the platform and the upstreams. The stand-ins
// themselves are in its subpackages.
package standin
