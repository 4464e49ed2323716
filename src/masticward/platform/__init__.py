"""Adapter to the deployment platform: names, formats and store calls. It has no policy.

No module outside this package uses the platform's names.
"""
