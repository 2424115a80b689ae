"""Listeners that accept messages from clients, one subpackage per protocol."""
