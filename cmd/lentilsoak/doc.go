// Command lentilsoak plays days of faults against real instances and checks what callers and workers see.
package main
