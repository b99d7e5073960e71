"""Entry daemon: accepts caller requests over HTTP and forwards them to sidecars."""
