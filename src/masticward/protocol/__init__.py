"""Messages, clients and servers of the protocols between masticward processes."""
