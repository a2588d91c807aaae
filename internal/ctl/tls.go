package ctl

import (
	"crypto/tls"
	"errors"
)

func loadClientTLS(string) (*tls.Config, error) {
	return nil, errors.New("TLS is not supported yet")
}
