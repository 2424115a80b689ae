"""Outgoing delivery of messages, one subpackage per transport."""
