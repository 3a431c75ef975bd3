//go:build deps

// Package deps pins the modules that parts still being written will import.
package deps

import (
	_ "connectrpc.com/connect"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/Shopify/toxiproxy/v2"
	_ "github.com/Shopify/toxiproxy/v2/toxics"
	_ "github.com/alecthomas/kong"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/jackc/pgx/v5"
	_ "github.com/jackc/pgx/v5/pgproto3"
	_ "github.com/jackc/pgx/v5/pgxpool"
	_ "github.com/mattn/go-sqlite3"
	_ "github.com/sourcegraph/conc"
	_ "github.com/sourcegraph/conc/pool"
	_ "golang.org/x/net/http2"
	_ "golang.org/x/net/http2/h2c"
	_ "golang.org/x/sys/unix"
	_ "golang.org/x/time/rate"
	_ "google.golang.org/protobuf/proto"
	_ "gopkg.in/ini.v1"
	_ "gotest.tools/v3/assert"
	_ "gotest.tools/v3/poll"
	_ "pgregory.net/rapid"
)
