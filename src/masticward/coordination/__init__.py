"""What processes do together: routing, dispatch, recovery."""
