// Package fake holds the stand-ins for the platform: the key-value service, the instance list, workers and backend servers.
//
// They serve `lentildeck local` and the tests, and each can be told to fail in the ways that the brief names.
package fake
