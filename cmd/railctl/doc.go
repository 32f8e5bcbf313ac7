// Command railctl is the operators' command line tool; see the README.
package main
