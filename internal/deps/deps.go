// Package deps temporarily keeps the planned modules in go.mod.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/go-playground/validator/v10"
	_ "github.com/gopacket/gopacket/layers"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/sebdah/goldie/v2"
	_ "github.com/sirupsen/logrus"
	_ "github.com/sourcegraph/jsonrpc2"
	_ "github.com/stretchr/testify/require"
	_ "github.com/urfave/cli/v3"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	_ "go.opentelemetry.io/otel/sdk/trace"
	_ "go.uber.org/dig"
	_ "go.uber.org/goleak"
	_ "golang.org/x/net/ipv4"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sys/unix"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
