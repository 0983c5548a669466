// Package cmds is the table of the command-line client's commands; each registers itself.
package cmds
