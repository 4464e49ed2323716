"""Wiring and shutdown of the two programs."""
