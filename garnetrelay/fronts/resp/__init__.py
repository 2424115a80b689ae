"""RESP2, as the protocol page has it."""
