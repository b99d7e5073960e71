"""gRPC transport between daemons: schema, channels, streams and TLS."""
