"""Stand-ins for the platform's store, its replicas and clients, used by the cases of the review."""
