"""The gRPC schema's generated code, channels and TLS."""
