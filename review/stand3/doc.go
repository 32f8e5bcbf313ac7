// Package stand3 holds the stand-ins and the checks of the third review: clients, workers and the platform's store, which run the gateways
// as separate processes. All of it stands in test files; `review/build-3.sh` builds it as one program.
package stand3
