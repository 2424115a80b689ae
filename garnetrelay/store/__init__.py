"""The journal: the durable record of pending messages and of notices that are not acknowledged yet."""
