// Package railv1connect holds the clients and handlers of the services in proto/rail/v1.
package railv1connect
