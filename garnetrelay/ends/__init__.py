"""Ends of messages: when the platform and clients may be told of them."""
