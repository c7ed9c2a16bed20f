// Package admin serves the admin interface of a process over HTTP: health, metrics, status and timeline events.
package admin
