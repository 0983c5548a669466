// Package tell lets the instance that has accepted a job tell the owner of it, so that the job need not wait until the owner's
// watch of the key-value service shows it. Nothing depends on it: a message that is lost costs the time of the watch.
package tell
