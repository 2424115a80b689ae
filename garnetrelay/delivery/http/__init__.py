"""Calls and probes to hosts over HTTP/1.1."""
