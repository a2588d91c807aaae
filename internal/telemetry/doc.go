// Package telemetry provides the JSON logger, the metrics registry and the
// HTTP endpoint with health and metrics that every program has.
package telemetry
