// Package notify notifies the owner of jobs that another instance has accepted, so that these jobs need not wait until the
// owner's watch of the key-value store shows them. Delivery is best effort: a lost notification only delays the job until
// the watch shows it.
package notify
