// Package railv1 holds the messages that processes of the system exchange, made from proto/rail/v1.
package railv1
