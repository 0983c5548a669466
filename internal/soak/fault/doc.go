// Package fault describes the disruptions of a day.
package fault
