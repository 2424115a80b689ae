"""Notices to the platform."""
