// Package stand2 has the stand-ins, clients and checks of the scripts of the second review. It consists of test files, imports
// nothing of the project, and is built by review/build-2.sh.
package stand2
