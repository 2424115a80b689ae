"""Delivery decisions for a relay that hands messages on to destinations it does not control."""

from starlingwick.control import Pacer

__all__ = ["Pacer"]
