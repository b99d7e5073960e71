"""Platform adapter: wire formats, metadata store, settings file and calls to engines."""
