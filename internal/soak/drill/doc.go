// Package drill plays one day of faults against real instances.
package drill
