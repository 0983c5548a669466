// Package plug holds the registries into which plug-ins enter themselves by name.
package plug
