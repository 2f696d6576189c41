package main

// configuration returns a version of the configuration: a plain route and rollout routes with the
// names, each under a path prefix of its own name.
func configuration(version int64, singleVersion bool, rollouts ...string) map[string]any {
	routes := []map[string]any{{
		"name": "confirm", "host": host, "path-prefix": "/confirm/", "kind": "idempotent", "timeout-ms": 2000,
		"target-latency-ms": 150, "priority": 2, "service": plainSvc, "max-attempts": 2, "public": false,
	}}
	for _, name := range rollouts {
		routes = append(routes, map[string]any{
			"name": name, "host": host, "path-prefix": "/" + name + "/", "kind": "rollout", "timeout-ms": 10000,
			"target-latency-ms": 400, "priority": 1, "service": engineSvc, "max-attempts": 3, "retention-s": 40.0,
			"result-due-ms": 7500, "single-version": singleVersion, "public": false, "sticky": true, "resumable": true,
		})
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": engineSvc, "health-path": "/health", "max-connections": 150, "protocol": "h1", "engine": map[string]any{
				"slots": 12, "kv-capacity": 43860, "models": []map[string]any{{"name": modelName}},
			}},
			{"name": plainSvc, "health-path": "/health", "max-connections": 96, "protocol": "h1"},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 33554432, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": tenantName, "api-keys": []string{apiKey}, "priority": 1}},
	}
}

// samplers returns engines of the model and two plain samplers.
func samplers(engines, slots int) []*sampler {
	out := []*sampler{newSampler("p-0", plainSvc, "a", 6), newSampler("p-1", plainSvc, "a", 6)}
	for i := range engines {
		out = append(out, newSampler(engineName(i), engineSvc, "a", slots, modelName))
	}
	return out
}
