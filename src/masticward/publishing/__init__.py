"""Collecting, checking and publishing configuration, and operator changes."""
