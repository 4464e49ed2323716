"""The gateway: the reverse proxy between the platform's clients and its endpoints."""
