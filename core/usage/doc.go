// Package usage holds the records from which charges are made, and folds them so that each request counts once.
//
// Entry and agent make a record of the same request; readers need only one of them. How records reach the object store
// is the work of package bill.
package usage
