// Package telemetry provides the parts that all programs share: the JSON logger,
// the HTTP endpoint for health and metrics, and the tracer.
package telemetry
