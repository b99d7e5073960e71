"""Operator configuration: objects, change log, adapter catalogue and replication to daemons."""
