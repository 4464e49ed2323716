"""Exit codes of the masticward command; docs/errors.md explains them to users."""

SUCCESS = 0
FAILURE = 1
USAGE = 2  # typer's code for a wrong command line
INVALID_FILES = 3  # problems in settings or configuration files
CONFLICT = 4  # another operator changed the object first; nothing was changed
STORE_UNAVAILABLE = 5  # the object API was unavailable; nothing was changed
OUTCOME_UNKNOWN = 6  # the change may have taken effect, or is not yet in force everywhere
