"""The gateway: the program between the platform's clients and its endpoints."""
