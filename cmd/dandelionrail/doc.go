// Command dandelionrail runs an entry daemon or a gateway on the users' platform, and checks settings files; see the README.
package main
