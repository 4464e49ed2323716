"""Data that only holds values."""
