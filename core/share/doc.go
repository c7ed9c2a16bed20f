// Package share measures how much of the work of each service each workspace causes, at this gate and at others, and decides whose
// requests are refused where there is too little capacity. It sends nothing and refuses nothing itself.
package share
