"""Clients and servers of the protocols that masticward speaks."""
