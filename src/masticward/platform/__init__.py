"""The adapter to the users' platform: names, formats and calls. It decides nothing.

No module outside this package knows the platform's names.
"""
