// Package rows stores order rows and weight-load slots in the table service.
package rows
