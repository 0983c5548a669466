// Package cmds implements the commands of the command-line client; each command registers itself in the Commands registry.
package cmds
