"""Protobuf messages and generated gRPC code."""
