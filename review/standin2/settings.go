package standin2

// Class returns a class of the settings. Times are in milliseconds.
func Class(name, effect string, aim, deadline float64) map[string]any {
	return map[string]any{
		"name": name, "effect": effect, "aim": aim, "deadline": deadline, "credit": 1.0, "lateWorth": 0.2,
		"dedupScope": "all", "repeatWindow": 30000.0, "stream": false,
	}
}

// Settings returns settings like those of the example in WIRE-ryeloft.md, for one agent, with the given classes.
func Settings(classes ...map[string]any) map[string]any {
	return map[string]any{
		"accounts": []any{}, "categories": classes,
		"clients": map[string]any{"marksRetry": false}, "discovery": "subscribe", "extra": map[string]any{"warmKeys": true},
		"fees": map[string]any{"connection": 0.0, "crossZone": 0.1, "probe": 0.01, "waste": 0.072},
		"goal": map[string]any{"whole": 0.75, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.05},
		"limits": map[string]any{
			"cancel": true, "connectTimeout": 250.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 10666, "idleClose": 15000.0,
			"maxAttempts": 4, "maxRetryAfter": 2000.0, "openCap": 26666, "peerMessages": false, "probes": true,
			"retryAfter": true, "secondCopies": true, "streamsPerConn": 1,
		},
		"localities": []string{"a"}, "overShareWorth": 0.1, "rank": 0, "replicasOfMe": 1,
		"report": map[string]any{"fields": []string{"backlog", "recent_ms"}, "how": "inline"},
		"rules": map[string]any{
			"answerSlack": 20.0, "coldFrom": 0.31, "drainGrace": 300.0, "mustAskIn": 10000.0, "overloadFactor": 3.0,
			"overloadFor": 2000.0, "warmAfter": 8800.0,
		},
		"skus": []string{"m1"}, "stages": []string{"counter-servers"}, "tick": 5.0, "tier": 0, "weights": "off",
		"workload": "mesh", "worthBy": "request", "zone": 0,
	}
}
