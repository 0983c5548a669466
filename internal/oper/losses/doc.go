// Package losses rebuilds the timeline of each job from the logs of the instances, and attributes what its caller lost by waiting
// to a closed list of causes.
package losses
