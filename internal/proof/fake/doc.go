// Package fake holds in-memory fakes of the platform: the key-value store, the instance list, workers and backend servers.
//
// They are used by `lentildeck local` and by tests. Each can inject the faults of the real system, such as outages, lost
// responses and silent connections.
package fake
