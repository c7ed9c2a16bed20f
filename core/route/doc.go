// Package route finds for a call the route, the workspace and the service that the configuration in force names. It
// knows neither servers nor sockets.
package route
