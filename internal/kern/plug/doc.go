// Package plug provides registries in which plug-ins register themselves by name.
package plug
