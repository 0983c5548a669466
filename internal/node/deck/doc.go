// Package deck is one instance on a site: it keeps the configuration fresh, answers callers, and competes for ownership.
package deck
