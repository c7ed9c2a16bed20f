// Package whole decides whether an answer is complete, from how its body is framed, how reading it and writing its request ended, and whether its
// server is known to have survived the end. It does no I/O, and it knows nothing of what an answer says.
package whole
