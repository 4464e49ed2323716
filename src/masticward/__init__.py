"""Masticward: a router fleet through which teams share the capacity of endpoints fairly."""

__version__ = "0.1.0"
