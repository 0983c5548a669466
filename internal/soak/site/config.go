package site

import "fmt"

// Config returns the operators' configuration in the platform's published form.
func (s Site) Config(version int) map[string]any {
	routes := []map[string]any{}
	for _, q := range s.Queues {
		routes = append(routes, map[string]any{
			"name": q.Name, "host": Host, "prefix": q.Prefix, "type": "non_idempotent", "timeoutMs": 3000,
			"targetDurationMs": q.Target.Milliseconds(), "priority": q.Priority, "service": Service, "maxAttempts": q.MaxAttempts,
			"stretch": q.Stretch, "public": false,
		})
	}
	tenants := []map[string]any{}
	guaranteed := len(s.DataCentres) * s.Workers * s.Accelerators / (2 * s.Workspaces)
	for i := range s.Workspaces {
		tenants = append(tenants, map[string]any{
			"name": fmt.Sprintf("workspace-%d", i), "apiKeys": []string{Key(i)}, "priority": 1, "guaranteed": map[string]int{"gpu": guaranteed},
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "tenants": tenants,
		"services": []map[string]any{{
			"name": Service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
			"rejectsOverload": false, "standby": false,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
