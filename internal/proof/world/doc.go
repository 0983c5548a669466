// Package world runs instances against a store and workers in virtual time, with every call a step that one scheduler orders, so
// that a run can be repeated exactly and disturbed at any step.
//
// The programs are the real ones; only the store, the workers and the network are models. All of it runs in one bubble of
// testing/synctest: the scheduler lets all goroutines come to rest before each effect.
package world
