"""Limits on what peers send, in both directions; a breach closes the connection at once.

A server in trouble may send bytes that are no answer without end. What a gateway keeps of one
response, and the work for it, stays bounded wherever such bytes arrive. The limits on the head and
the body of a client's request are part of the configuration, see ``IngressLimits``.
"""

# Head of a response with all interim responses and empty lines before it.
MAX_HEAD_BYTES = 64 * 1024
# Bytes between two bytes of a body, or after the last one: chunk extensions and trailers.
MAX_FRAMING_BYTES = 32 * 1024
# What a client may go on sending after its rejection, so that it receives the rejection.
MAX_REJECTED_BYTES = 1024 * 1024
# One event of a stream.
MAX_EVENT_BYTES = 256 * 1024
# Bodies that are read whole: a response of a plain service or an error of an engine, an upstream's
# refusal, an engine's report, an answer of the store, and a peer's snapshot of the store.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
MAX_REFUSAL_BYTES = 64 * 1024
MAX_REPORT_BYTES = 1024 * 1024
MAX_STORE_BYTES = 8 * 1024 * 1024
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024
