// Package rows stores the rows of orders and load slots in the table service.
package rows
